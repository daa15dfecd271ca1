package org.wasabilug.gateway.internal.caller;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;

/** Fields of a request that count while they are received, before the head is complete. */
final class CountedHeaders extends DefaultHttpHeaders {
    private final CallerInput mInput;

    private CountedHeaders(CallerInput input, DefaultHttpHeadersFactory rules) {
        super(rules.getNameValidator(), rules.getValueValidator());
        mInput = input;
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        mInput.fieldReceived(name.length() + String.valueOf(value).length());
        return super.add(name, value);
    }

    @Override
    public HttpHeaders add(String name, Object value) {
        return add((CharSequence) name, value);
    }

    /**
     * Creates the fields of heads, or of trailers.
     *
     * @param input counts them
     * @param rules which names and values are valid
     */
    record Factory(CallerInput input, DefaultHttpHeadersFactory rules)
            implements HttpHeadersFactory {
        @Override
        public HttpHeaders newHeaders() {
            input.fieldsStarted();
            return new CountedHeaders(input, rules);
        }

        @Override
        public HttpHeaders newEmptyHeaders() {
            return newHeaders();
        }
    }
}

package org.wasabilug.gateway.internal.caller;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.Queue;

/** Encodes the responses of one connection, each as the method of its request demands. */
final class CallerResponseEncoder extends HttpResponseEncoder {
    private final Queue<HttpMethod> mMethods;
    private HttpMethod mMethod;

    /**
     * Creates an encoder.
     *
     * @param methods methods of the requests without a response, the oldest first
     */
    CallerResponseEncoder(Queue<HttpMethod> methods) {
        mMethods = methods;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpResponse response) {
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            return super.isContentAlwaysEmpty(response);
        }
        mMethod = mMethods.poll();
        return HttpMethod.HEAD.equals(mMethod) || super.isContentAlwaysEmpty(response);
    }

    @Override
    protected void sanitizeHeadersBeforeEncode(HttpResponse response, boolean alwaysEmpty) {
        boolean opensTunnel =
                HttpMethod.CONNECT.equals(mMethod)
                        && response.status().codeClass() == HttpStatusClass.SUCCESS;
        if (!alwaysEmpty && opensTunnel) {
            response.headers().remove(HttpHeaderNames.TRANSFER_ENCODING);
        } else {
            super.sanitizeHeadersBeforeEncode(response, alwaysEmpty);
        }
    }
}

package org.wasabilug.standin;

import java.net.URI;
import java.util.concurrent.TimeUnit;
import org.wasabilug.internal.event.AttemptId;
import org.wasabilug.internal.event.StageCall;
import org.wasabilug.model.CallProtocol;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.RequestId;
import org.wasabilug.model.StageName;

/** Creates calls of one stage with default values that few tests need to change. */
final class TestCalls {
    static final String STAGE = "generate";
    static final String INPUT = "Summarise the leak checks of site 12.";
    static final long DEFAULT_TIMEOUT_NANOS = TimeUnit.MINUTES.toNanos(1);

    private TestCalls() {}

    static AttemptId attempt(String request) {
        return new AttemptId(new RequestId(request), new StageName(STAGE), 1);
    }

    static StageCall streamed(URI address, String request) {
        return call(address, request, CallProtocol.STREAMED, "", DEFAULT_TIMEOUT_NANOS);
    }

    static StageCall whole(URI address, String request) {
        return call(address, request, CallProtocol.WHOLE, "", DEFAULT_TIMEOUT_NANOS);
    }

    static StageCall resumed(URI address, String request, String resumeText) {
        return call(address, request, CallProtocol.STREAMED, resumeText, DEFAULT_TIMEOUT_NANOS);
    }

    static StageCall withTimeout(URI address, String request, long timeoutNanos) {
        return call(address, request, CallProtocol.STREAMED, "", timeoutNanos);
    }

    static StageCall withInput(StageCall call, String input) {
        return new StageCall(
                call.attempt(),
                call.endpoint(),
                call.address(),
                call.requestPath(),
                call.protocol(),
                input,
                call.resumeText(),
                call.timeoutNanos(),
                call.priority(),
                call.repeatable());
    }

    private static StageCall call(
            URI address,
            String request,
            CallProtocol protocol,
            String resumeText,
            long timeoutNanos) {
        return new StageCall(
                attempt(request),
                new EndpointName("rennes-1"),
                address,
                "/v1/completions",
                protocol,
                INPUT,
                resumeText,
                timeoutNanos,
                0,
                true);
    }
}

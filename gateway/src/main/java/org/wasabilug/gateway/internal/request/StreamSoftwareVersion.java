package org.wasabilug.gateway.internal.request;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import java.util.function.Consumer;
import org.wasabilug.gateway.protocol.HeaderNames;

/**
 * Keeps one stream at the software version that wrote its first event.
 *
 * <p>The first event may have come in an earlier request of the caller, possibly at another
 * instance.
 */
final class StreamSoftwareVersion {
    /** Time after the caller's deadline within which its last attempt may still arrive. */
    private static final long ORIGIN_MARGIN_MILLIS = 5_000;

    private final RequestContext mRequest;
    private final Sender mSender;
    private final StreamOriginRegistry mOrigins;
    private final HeaderNames mNames;
    private boolean mEventReceived;

    StreamSoftwareVersion(
            RequestContext request,
            Sender sender,
            StreamOriginRegistry origins,
            HeaderNames names) {
        mRequest = request;
        mSender = sender;
        mOrigins = origins;
        mNames = names;
    }

    /** Returns whether the caller takes up a stream that an earlier request began. */
    boolean resumed() {
        return headers().contains(mNames.resumes()) || headers().contains(mNames.lastEventId());
    }

    /**
     * Finds the version of a stream that the caller takes up and restricts the sender to it. Calls
     * back once, unless the caller leaves before.
     *
     * @param found runs if there is an endpoint of that version
     * @param refused receives the reason if the stream can't go on
     */
    void find(Runnable found, Consumer<String> refused) {
        mOrigins.find(
                headers().get(mNames.resumes(), ""),
                mRequest.service().name(),
                version -> restrict(version, found, refused));
    }

    private void restrict(
            Optional<String> softwareVersion, Runnable found, Consumer<String> refused) {
        if (!mRequest.exchange().open()) {
            return;
        }
        softwareVersion.ifPresent(mSender::restrictTo);
        if (softwareVersion.isEmpty()) {
            refused.accept("software version of the stream is not known");
        } else if (!mSender.hasEndpoint()) {
            refused.accept("no endpoint of the stream's software version");
        } else {
            found.run();
        }
    }

    /** Binds the stream to the version that wrote its first event; later events change nothing. */
    void eventReceived(Attempt attempt) {
        if (mEventReceived) {
            return;
        }
        mEventReceived = true;
        mSender.restrictTo(attempt.softwareVersion());
        if (mRequest.route().idempotent()) {
            mOrigins.began(
                    mRequest.id(),
                    attempt.softwareVersion(),
                    mRequest.deadline().millis() + ORIGIN_MARGIN_MILLIS);
        }
    }

    private HttpHeaders headers() {
        return mRequest.exchange().head().headers();
    }
}

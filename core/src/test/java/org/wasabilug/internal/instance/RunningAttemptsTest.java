package org.wasabilug.internal.instance;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URI;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.wasabilug.internal.event.AttemptId;
import org.wasabilug.internal.event.InstanceAction;
import org.wasabilug.internal.event.StageCall;
import org.wasabilug.model.Endpoint;
import org.wasabilug.model.EndpointName;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.Pool;
import org.wasabilug.model.PoolName;
import org.wasabilug.model.RequestId;
import org.wasabilug.model.StageName;

class RunningAttemptsTest {
    private static final EndpointName ENDPOINT = new EndpointName("rennes-1");
    private static final AttemptId ATTEMPT =
            new AttemptId(new RequestId("r"), new StageName("encode"), 1);
    private static final long SECOND_NANOS = 1_000_000_000L;

    private final RunningAttempts mAttempts = new RunningAttempts();

    private static InstanceAction dispatch() {
        Pool pool = Pool.builder().name(new PoolName("encoders")).build();
        Endpoint endpoint =
                Endpoint.builder()
                        .name(ENDPOINT)
                        .pool(pool.name())
                        .failureDomain(new FailureDomainName("rennes"))
                        .address(URI.create("http://127.0.0.1:1"))
                        .build();
        return new InstanceAction.Dispatch(
                StageCall.builder()
                        .attempt(ATTEMPT)
                        .endpoint(endpoint)
                        .pool(pool)
                        .input("cold room 7")
                        .resumeText("")
                        .timeoutNanos(SECOND_NANOS)
                        .priority(0)
                        .repeatable(true)
                        .build());
    }

    @Test
    void countsCancelledCallsUntilCancellationMustHaveArrived() {
        mAttempts.recordActions(
                List.of(dispatch(), new InstanceAction.CancelAttempt(ATTEMPT)), SECOND_NANOS);

        mAttempts.expireCancellations(2 * SECOND_NANOS - 1);
        int before = mAttempts.countAt(ENDPOINT);
        int cancelledBefore = mAttempts.cancelledAt(ENDPOINT);
        mAttempts.expireCancellations(2 * SECOND_NANOS);

        assertThat(before).isEqualTo(1);
        assertThat(cancelledBefore).isEqualTo(1);
        assertThat(mAttempts.countAt(ENDPOINT)).isZero();
        assertThat(mAttempts.cancelledAt(ENDPOINT)).isZero();
    }
}

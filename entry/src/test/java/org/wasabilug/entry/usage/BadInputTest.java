package org.wasabilug.entry.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wasabilug.entry.EntryInstance;
import org.wasabilug.entry.EntryLimits;
import org.wasabilug.entry.fake.FakeEndpoints;
import org.wasabilug.entry.fake.FakeInstance;
import org.wasabilug.entry.fake.HttpCaller;

class BadInputTest {
    private static final String PATH = "/v1/pipelines/certificates/requests";
    private static final int BODY_LIMIT = 1_000;

    private final FakeEndpoints mEndpoints = new FakeEndpoints(true);
    private EntryInstance mInstance;
    private HttpCaller mCaller;

    @BeforeEach
    void startInstance() {
        mInstance =
                FakeInstance.with(mEndpoints)
                        .limits(EntryLimits.builder().maximumBodyBytes(BODY_LIMIT).build())
                        .build();
        mCaller = new HttpCaller(mInstance.start().callers());
    }

    @AfterEach
    void closeInstance() {
        mInstance.close();
    }

    private HttpResponse<String> post(String path, String credential, String body) {
        return mCaller.post(path, credential, body);
    }

    private void assertRefusedWithoutRunning(
            HttpResponse<String> response, int status, String code) {
        assertThat(response.statusCode()).isEqualTo(status);
        assertThat(response.headers().firstValue("content-type"))
                .hasValueSatisfying(
                        type -> assertThat(type).startsWith("application/problem+json"));
        assertThat(response.body())
                .contains("\"code\":\"" + code + "\"")
                .contains("\"runState\":\"NOT_RUN\"");
        assertThat(mEndpoints.calls()).isEmpty();
    }

    @Test
    void refusesMalformedJson() {
        var response = post(PATH, FakeInstance.FRIGOVAL, "{\"input\":");

        assertRefusedWithoutRunning(response, 400, "INVALID_BODY");
    }

    @Test
    void reportsEveryErrorOfBodyTogether() {
        var response =
                post(PATH, FakeInstance.FRIGOVAL, "{\"stream\":1,\"deadlineMilliseconds\":\"2\"}");

        assertRefusedWithoutRunning(response, 400, "INVALID_BODY");
        assertThat(response.body()).contains("input:", "stream:", "deadlineMilliseconds:");
    }

    @Test
    void refusesUnknownField() {
        var response = post(PATH, FakeInstance.FRIGOVAL, "{\"input\":\"x\",\"inputs\":\"y\"}");

        assertRefusedWithoutRunning(response, 400, "INVALID_BODY");
        assertThat(response.body()).contains("inputs: is not a field");
    }

    @Test
    void refusesRepeatedField() {
        var response = post(PATH, FakeInstance.FRIGOVAL, "{\"input\":\"x\",\"input\":\"y\"}");

        assertRefusedWithoutRunning(response, 400, "INVALID_BODY");
    }

    @Test
    void refusesUnknownPipeline() {
        var response =
                post("/v1/pipelines/nowhere/requests", FakeInstance.FRIGOVAL, "{\"input\":\"x\"}");

        assertRefusedWithoutRunning(response, 404, "NOT_FOUND");
    }

    @Test
    void refusesPoolThatIsNotExposed() {
        var response =
                post("/v1/services/engines/requests", FakeInstance.FRIGOVAL, "{\"input\":\"x\"}");

        assertRefusedWithoutRunning(response, 404, "NOT_FOUND");
    }

    @Test
    void refusesMissingKey() {
        var response = post(PATH, "Bearer frigoval", "{\"input\":\"x\"}");

        assertRefusedWithoutRunning(response, 401, "UNAUTHENTICATED");
    }

    @Test
    void refusesKeyOfOtherWorkspace() {
        var response = post(PATH, "Bearer frigoval.secret-2", "{\"input\":\"x\"}");

        assertRefusedWithoutRunning(response, 401, "UNAUTHENTICATED");
    }

    @Test
    void refusesWorkspaceThatMayNotUsePipeline() {
        var response = post(PATH, FakeInstance.SERRANO, "{\"input\":\"x\"}");

        assertRefusedWithoutRunning(response, 403, "FORBIDDEN");
    }

    @Test
    void refusesDeadlineOfZero() {
        var response =
                post(PATH, FakeInstance.FRIGOVAL, "{\"input\":\"x\",\"deadlineMilliseconds\":0}");

        assertRefusedWithoutRunning(response, 400, "INVALID_DEADLINE");
    }

    @Test
    void refusesDeadlineInPast() {
        var response =
                post(PATH, FakeInstance.FRIGOVAL, "{\"input\":\"x\",\"deadlineMilliseconds\":-5}");

        assertRefusedWithoutRunning(response, 400, "INVALID_DEADLINE");
    }

    @Test
    void refusesDeadlineBeyondLimit() {
        var response =
                post(
                        PATH,
                        FakeInstance.FRIGOVAL,
                        "{\"input\":\"x\",\"deadlineMilliseconds\":9000000000000000000}");

        assertRefusedWithoutRunning(response, 400, "INVALID_DEADLINE");
    }

    @Test
    void refusesBodyOverLimit() {
        var response =
                post(PATH, FakeInstance.FRIGOVAL, "{\"input\":\"" + "x".repeat(BODY_LIMIT) + "\"}");

        assertRefusedWithoutRunning(response, 413, "BODY_TOO_LARGE");
    }

    @Test
    void refusesIdempotencyKeyWithSpace() {
        var response =
                mCaller.post(
                        PATH, FakeInstance.FRIGOVAL, "{\"input\":\"x\"}", "Idempotency-Key", "a b");

        assertRefusedWithoutRunning(response, 400, "INVALID_BODY");
    }

    @Test
    void refusesIdempotencyKeyReusedWithOtherBody() {
        String[] key = {"Idempotency-Key", "transfer-1"};
        mCaller.post(PATH, FakeInstance.FRIGOVAL, "{\"input\":\"x\"}", key);
        mEndpoints.calls().clear();

        var response = mCaller.post(PATH, FakeInstance.FRIGOVAL, "{\"input\":\"y\"}", key);

        assertThat(response.statusCode()).isEqualTo(409);
        assertThat(response.body()).contains("IDEMPOTENCY_CONFLICT");
        assertThat(mEndpoints.calls()).isEmpty();
    }
}

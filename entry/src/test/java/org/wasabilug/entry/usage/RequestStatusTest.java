package org.wasabilug.entry.usage;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wasabilug.entry.EntryInstance;
import org.wasabilug.entry.fake.FakeEndpoints;
import org.wasabilug.entry.fake.FakeInstance;
import org.wasabilug.entry.fake.HttpCaller;

class RequestStatusTest {
    private EntryInstance mInstance;
    private HttpCaller mCaller;

    @BeforeEach
    void startInstanceAndRunRequest() {
        mInstance = FakeInstance.with(new FakeEndpoints(true)).build();
        mCaller = new HttpCaller(mInstance.start().callers());
        mCaller.post(
                "/v1/pipelines/certificates/requests",
                FakeInstance.FRIGOVAL,
                "{\"input\":\"x\"}",
                "Idempotency-Key",
                "transfer-1");
    }

    @AfterEach
    void closeInstance() {
        mInstance.close();
    }

    @Test
    void returnsStateOfEarlierRequest() {
        var response = mCaller.get("/v1/requests/transfer-1", FakeInstance.FRIGOVAL);

        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.body()).contains("\"state\":\"COMPLETED\"");
    }

    @Test
    void hidesRequestFromOtherWorkspaces() {
        var response = mCaller.get("/v1/requests/transfer-1", FakeInstance.SERRANO);

        assertThat(response.statusCode()).isEqualTo(404);
    }

    @Test
    void reportsUnknownOutcomeOfRequestWithoutRecord() {
        var response = mCaller.get("/v1/requests/transfer-2", FakeInstance.FRIGOVAL);

        assertThat(response.statusCode()).isEqualTo(404);
        assertThat(response.body()).contains("\"runState\":\"OUTCOME_UNKNOWN\"");
    }
}

package org.wasabilug.entry.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wasabilug.entry.EntryInstance;
import org.wasabilug.entry.fake.FakeEndpoints;
import org.wasabilug.entry.fake.FakeInstance;
import org.wasabilug.entry.fake.HttpCaller;

class CallerInterfaceTest {
    private static final String PATH = "/v1/pipelines/certificates/requests";

    private EntryInstance mInstance;
    private HttpCaller mCaller;

    @BeforeEach
    void startInstance() {
        mInstance = FakeInstance.with(new FakeEndpoints(true)).build();
        mCaller = new HttpCaller(mInstance.start().callers());
    }

    @AfterEach
    void closeInstance() {
        mInstance.close();
    }

    @Test
    void returnsBufferedAnswerInStageOrder() {
        HttpResponse<String> response =
                mCaller.post(PATH, FakeInstance.FRIGOVAL, "{\"input\":\"x\"}");

        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.body())
                .contains("\"text\":\"encode(x)generate(x)\"")
                .contains("{\"name\":\"encode\",\"text\":\"encode(x)\"}");
    }

    @Test
    void streamsPartsAndEndsWithDoneEvent() {
        HttpResponse<String> response =
                mCaller.post(PATH, FakeInstance.FRIGOVAL, "{\"input\":\"x\",\"stream\":true}");

        assertThat(response.headers().firstValue("content-type")).contains("text/event-stream");
        assertThat(response.body())
                .startsWith(
                        """
                        event: stage
                        data: {"stage":"encode","text":"encode(x)"}

                        event: stage
                        data: {"stage":"generate","text":"generate(x)"}

                        event: done
                        """);
    }

    @Test
    void answersRequestToPlainService() {
        HttpResponse<String> response =
                mCaller.post(
                        "/v1/services/ledger/requests",
                        FakeInstance.FRIGOVAL,
                        "{\"input\":\"transfer\"}");

        assertThat(response.body()).contains("\"text\":\"service(transfer)\"");
    }
}

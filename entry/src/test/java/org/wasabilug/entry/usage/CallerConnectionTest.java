package org.wasabilug.entry.usage;

import static java.util.concurrent.TimeUnit.SECONDS;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.wasabilug.entry.EntryInstance;
import org.wasabilug.entry.EntryLimits;
import org.wasabilug.entry.fake.FakeEndpoints;
import org.wasabilug.entry.fake.FakeInstance;
import org.wasabilug.entry.fake.HttpCaller;
import org.wasabilug.internal.event.AttemptId;
import org.wasabilug.internal.event.StageCall;

@Timeout(60)
class CallerConnectionTest {
    private static final String PATH = "/v1/pipelines/certificates/requests";
    private static final String CHUNK = "x".repeat(100_000);
    private static final int CHUNKS = 300;

    private final FakeEndpoints mEndpoints = new FakeEndpoints(false);
    private EntryInstance mInstance;
    private URI mAddress;
    private HttpCaller mCaller;

    @BeforeEach
    void startInstance() {
        mInstance =
                FakeInstance.with(mEndpoints)
                        .limits(
                                EntryLimits.builder()
                                        .callerBufferCharacters(10_000)
                                        .maximumAnswerCharacters(100_000_000)
                                        .build())
                        .build();
        mAddress = mInstance.start().callers();
        mCaller = new HttpCaller(mAddress);
    }

    @AfterEach
    void closeInstance() {
        mInstance.close();
    }

    private Socket sendRaw(String body, String header) throws IOException {
        Socket socket = new Socket(mAddress.getHost(), mAddress.getPort());
        String head =
                "POST "
                        + PATH
                        + " HTTP/1.1\r\nHost: x\r\nAuthorization: "
                        + FakeInstance.FRIGOVAL
                        + "\r\nContent-Type: application/json\r\nContent-Length: "
                        + body.length()
                        + "\r\n"
                        + header
                        + "\r\n";
        socket.getOutputStream().write((head + body).getBytes(StandardCharsets.UTF_8));
        return socket;
    }

    private AttemptId nextCall() throws InterruptedException {
        StageCall call = mEndpoints.calls().poll(10, SECONDS);
        return call.attempt();
    }

    @Test
    void cancelsStagesWhenCallerOfBufferedAnswerDisconnects() throws Exception {
        Socket socket = sendRaw("{\"input\":\"x\"}", "");
        AttemptId attempt = nextCall();

        socket.close();

        assertThat(mEndpoints.cancelled().poll(10, SECONDS)).isEqualTo(attempt);
    }

    @Test
    void cancelsStagesWhenCallerOfStreamedAnswerDisconnects() throws Exception {
        Socket socket = sendRaw("{\"input\":\"x\",\"stream\":true}", "");
        AttemptId attempt = nextCall();
        mEndpoints.chunk(attempt, 0, "part");
        socket.getInputStream().read();

        socket.close();

        assertThat(mEndpoints.cancelled().poll(10, SECONDS)).isEqualTo(attempt);
    }

    @Test
    void answersRequestWithConnectionCloseHeader() throws Exception {
        try (Socket socket = sendRaw("{\"input\":\"x\"}", "Connection: close\r\n")) {
            for (int stage = 0; stage < 2; stage++) {
                AttemptId attempt = nextCall();
                mEndpoints.chunk(attempt, 0, "part;");
                mEndpoints.finish(attempt);
            }

            String answer =
                    new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);

            assertThat(answer).contains("\"text\":\"part;part;\"");
        }
    }

    @Test
    void pausesStagesWhileCallerReadsSlowlyAndResumesThemLater() throws Exception {
        Socket socket = sendRaw("{\"input\":\"x\",\"stream\":true}", "Connection: close\r\n");
        AttemptId attempt = nextCall();
        for (int chunk = 0; chunk < CHUNKS; chunk++) {
            mEndpoints.chunk(attempt, chunk * CHUNK.length(), CHUNK);
        }
        assertThat(mEndpoints.paused().poll(10, SECONDS)).isEqualTo(attempt);

        CompletableFuture<Integer> read = CompletableFuture.supplyAsync(() -> readAll(socket));
        assertThat(mEndpoints.resumed().poll(10, SECONDS)).isEqualTo(attempt);
        mEndpoints.finish(attempt);
        mEndpoints.finish(nextCall());

        assertThat(read.get(10, SECONDS)).isGreaterThan(CHUNKS * CHUNK.length());
    }

    private static int readAll(Socket socket) {
        try (InputStream input = socket.getInputStream()) {
            return input.readAllBytes().length;
        } catch (IOException exception) {
            throw new AssertionError("reading the answer failed", exception);
        }
    }

    @Test
    void refusesDuplicateOfRunningRequestAndAnswersOriginal() throws Exception {
        var request =
                mCaller.request(PATH, FakeInstance.FRIGOVAL, "Idempotency-Key", "k")
                        .POST(BodyPublishers.ofString("{\"input\":\"x\"}"))
                        .build();
        CompletableFuture<HttpResponse<String>> first =
                mCaller.client().sendAsync(request, BodyHandlers.ofString());
        AttemptId encode = nextCall();

        HttpResponse<String> second = mCaller.send(request);

        assertThat(second.statusCode()).isEqualTo(409);
        assertThat(second.headers().firstValue("retry-after")).contains("1");
        assertThat(second.body()).contains("ALREADY_RUNNING", "OUTCOME_UNKNOWN");
        mEndpoints.finish(encode);
        mEndpoints.finish(nextCall());
        assertThat(first.get(10, SECONDS).statusCode()).isEqualTo(200);
    }
}

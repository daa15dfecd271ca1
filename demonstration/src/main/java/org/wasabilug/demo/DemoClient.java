package org.wasabilug.demo;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.wasabilug.error.Reporter;

/** HTTP client for the interfaces of callers and of operators. */
final class DemoClient implements AutoCloseable {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String OPERATOR_CREDENTIAL =
            "Bearer operator." + DemoKeys.OPERATOR + "." + DemoKeys.OPERATOR_KEY;
    private static final String WORKSPACE_CREDENTIAL =
            "Bearer " + DemoKeys.WORKSPACE + "." + DemoKeys.WORKSPACE_KEY;

    private final HttpClient mHttp =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    /**
     * An HTTP response.
     *
     * @param status HTTP status code
     * @param body JSON body of the response
     */
    record Response(int status, JsonNode body) {}

    Response submitTicket(URI operators, String ticket) {
        return send(
                request(operators.resolve("/v1/tickets"), OPERATOR_CREDENTIAL)
                        .POST(HttpRequest.BodyPublishers.ofString(ticket))
                        .build());
    }

    Response get(URI operators, String path) {
        return send(request(operators.resolve(path), OPERATOR_CREDENTIAL).GET().build());
    }

    Response submitRequest(URI callers, String input) {
        return send(pipelineRequest(callers, input, false));
    }

    /** Requests a streamed answer and passes on each line as it arrives. */
    void stream(URI callers, String input, Consumer<String> lines) {
        HttpResponse<Stream<String>> response =
                exchange(
                        pipelineRequest(callers, input, true), HttpResponse.BodyHandlers.ofLines());
        try (Stream<String> body = response.body()) {
            body.forEach(lines);
        }
    }

    private HttpRequest pipelineRequest(URI callers, String input, boolean stream) {
        String body =
                MAPPER.createObjectNode().put("input", input).put("stream", stream).toString();
        URI uri = callers.resolve("/v1/pipelines/" + DemoTickets.PIPELINE + "/requests");
        return request(uri, WORKSPACE_CREDENTIAL)
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    private static HttpRequest.Builder request(URI uri, String credential) {
        return HttpRequest.newBuilder(uri)
                .timeout(TIMEOUT)
                .header("Authorization", credential)
                .header("Content-Type", "application/json");
    }

    private Response send(HttpRequest request) {
        HttpResponse<String> response = exchange(request, HttpResponse.BodyHandlers.ofString());
        return new Response(response.statusCode(), parse(response.body()));
    }

    private static JsonNode parse(String body) {
        try {
            return MAPPER.readTree(body);
        } catch (JsonProcessingException e) {
            throw Reporter.defect("a response is not JSON: " + body);
        }
    }

    private <T> HttpResponse<T> exchange(HttpRequest request, HttpResponse.BodyHandler<T> handler) {
        try {
            return mHttp.send(request, handler);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw Reporter.defect("the demonstration was interrupted");
        }
    }

    @Override
    public void close() {
        mHttp.close();
    }
}

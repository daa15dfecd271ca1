package org.wasabilug.operator.internal.client;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import org.wasabilug.operator.internal.settings.OperatorSettings;

/** Sends requests to the operators' interface of an instance. */
public final class InstanceClient implements AutoCloseable {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration RESPONSE_TIMEOUT = Duration.ofSeconds(20);
    private static final int MIN_ERROR_STATUS = 400;
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private final HttpClient mClient =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(CONNECT_TIMEOUT)
                    .build();
    private final String mCredential;

    /**
     * Creates the client.
     *
     * @param settings name and key of the operator
     */
    public InstanceClient(OperatorSettings settings) {
        mCredential = "Bearer operator." + settings.operator() + "." + settings.key();
    }

    /**
     * Sends a GET request.
     *
     * @param instance base address of the instance
     * @param path path of the resource
     * @return the outcome
     */
    public Reply get(URI instance, String path) {
        return send(instance, request(instance, path).GET().build());
    }

    /**
     * Posts JSON.
     *
     * @param instance base address of the instance
     * @param path path of the resource
     * @param body JSON text
     * @return the outcome
     */
    public Reply post(URI instance, String path, String body) {
        return send(
                instance,
                request(instance, path)
                        .header("Content-Type", "application/json")
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build());
    }

    private HttpRequest.Builder request(URI instance, String path) {
        return HttpRequest.newBuilder(instance.resolve(path))
                .timeout(RESPONSE_TIMEOUT)
                .header("Authorization", mCredential);
    }

    private Reply send(URI instance, HttpRequest request) {
        try {
            return replyOf(instance, mClient.send(request, BodyHandlers.ofString()));
        } catch (ConnectException exception) {
            return new Reply.Unreachable(instance, false);
        } catch (IOException exception) {
            return new Reply.Unreachable(instance, true);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return new Reply.Unreachable(instance, true);
        }
    }

    private static Reply replyOf(URI instance, HttpResponse<String> response)
            throws JsonProcessingException {
        JsonNode body = MAPPER.readTree(response.body());
        return response.statusCode() < MIN_ERROR_STATUS
                ? new Reply.Answered(instance, body)
                : new Reply.Refused(instance, body);
    }

    @Override
    public void close() {
        mClient.close();
    }
}

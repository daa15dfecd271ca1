package org.wasabilug.entry.fake;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;

/** Sends HTTP requests to an interface of an instance. */
public final class HttpCaller {
    private final HttpClient mClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final URI mBase;

    /**
     * Creates the client.
     *
     * @param base base address of the interface
     */
    public HttpCaller(URI base) {
        mBase = base;
    }

    /** Returns a request with a credential and optional pairs of header names and values. */
    public HttpRequest.Builder request(String path, String credential, String... headers) {
        HttpRequest.Builder builder =
                HttpRequest.newBuilder(mBase.resolve(path)).header("Authorization", credential);
        return headers.length == 0 ? builder : builder.headers(headers);
    }

    /** Posts a body and waits for the answer. */
    public HttpResponse<String> post(
            String path, String credential, String body, String... headers) {
        return send(
                request(path, credential, headers)
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build());
    }

    /** Sends a GET request and waits for the answer. */
    public HttpResponse<String> get(String path, String credential) {
        return send(request(path, credential).GET().build());
    }

    /** Sends a request and waits for the answer. */
    public HttpResponse<String> send(HttpRequest request) {
        try {
            return mClient.send(request, BodyHandlers.ofString());
        } catch (IOException exception) {
            throw new AssertionError("the request failed", exception);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new AssertionError("interrupted", exception);
        }
    }

    /** Returns the underlying client, for asynchronous calls. */
    public HttpClient client() {
        return mClient;
    }
}

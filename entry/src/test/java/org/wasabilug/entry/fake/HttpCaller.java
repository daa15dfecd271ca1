package org.wasabilug.entry.fake;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;

/** Sends requests as a caller or operator does. */
public final class HttpCaller {
    private final HttpClient mClient =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final URI mBase;

    /**
     * Creates the caller.
     *
     * @param base base address of an interface
     */
    public HttpCaller(URI base) {
        mBase = base;
    }

    /** Starts a request with a credential; pairs of header names and values may follow. */
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

    /** Gets a path and waits for the answer. */
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

    /** The client underneath. */
    public HttpClient client() {
        return mClient;
    }
}

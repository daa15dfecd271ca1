package org.wasabilug.operator.usage;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A fake instance that returns prepared responses and records requests. */
final class FakeInstance implements AutoCloseable {
    private final HttpServer mServer;
    private final Map<String, Response> mResponses = new ConcurrentHashMap<>();
    private final Map<String, String> mBodies = new ConcurrentHashMap<>();
    private volatile String mCredential = "";

    private record Response(int status, String body) {}

    FakeInstance() throws IOException {
        mServer = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        mServer.createContext("/", this::handle);
        mServer.start();
    }

    String address() {
        return "http://127.0.0.1:" + mServer.getAddress().getPort();
    }

    FakeInstance withResponse(String path, int status, String body) {
        mResponses.put(path, new Response(status, body));
        return this;
    }

    String receivedBody(String path) {
        return mBodies.getOrDefault(path, "");
    }

    String lastCredential() {
        return mCredential;
    }

    private void handle(HttpExchange exchange) throws IOException {
        String path = exchange.getRequestURI().getRawPath();
        mCredential = exchange.getRequestHeaders().getFirst("Authorization");
        mBodies.put(
                path, new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8));
        Response response =
                mResponses.getOrDefault(path, new Response(404, "{\"code\":\"NOT_FOUND\"}"));
        byte[] body = response.body().getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(response.status(), body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    @Override
    public void close() {
        mServer.stop(0);
    }
}

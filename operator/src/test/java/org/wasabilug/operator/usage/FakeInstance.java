package org.wasabilug.operator.usage;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** An instance that gives prepared answers and remembers what it was sent. */
final class FakeInstance implements AutoCloseable {
    private final HttpServer mServer;
    private final Map<String, Answer> mAnswers = new ConcurrentHashMap<>();
    private final Map<String, String> mBodies = new ConcurrentHashMap<>();
    private volatile String mCredential = "";

    private record Answer(int status, String body) {}

    FakeInstance() throws IOException {
        mServer = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        mServer.createContext("/", this::answer);
        mServer.start();
    }

    String address() {
        return "http://127.0.0.1:" + mServer.getAddress().getPort();
    }

    FakeInstance answers(String path, int status, String body) {
        mAnswers.put(path, new Answer(status, body));
        return this;
    }

    String bodyOf(String path) {
        return mBodies.getOrDefault(path, "");
    }

    String credential() {
        return mCredential;
    }

    private void answer(HttpExchange exchange) throws IOException {
        String path = exchange.getRequestURI().getRawPath();
        mCredential = exchange.getRequestHeaders().getFirst("Authorization");
        mBodies.put(
                path, new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8));
        Answer answer = mAnswers.getOrDefault(path, new Answer(404, "{\"code\":\"NOT_FOUND\"}"));
        byte[] body = answer.body().getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(answer.status(), body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    @Override
    public void close() {
        mServer.stop(0);
    }
}

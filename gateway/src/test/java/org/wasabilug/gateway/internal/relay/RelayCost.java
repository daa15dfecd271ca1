package org.wasabilug.gateway.internal.relay;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.wasabilug.messages.gateway.RelayReply;
import org.wasabilug.messages.gateway.RelayRequest;
import org.wasabilug.serving.EndpointRegistration;

/** Prints what a relay costs on loopback: latency of a request, memory of a connection. */
final class RelayCost {
    private static final int WARM_UP_CALLS = 3_000;
    private static final int CALLS = 1_000;
    private static final int CONNECTIONS = 700;
    private static final long SETTLE_MILLIS = 300;

    private RelayCost() {}

    /**
     * Runs the measurements.
     *
     * @param arguments none
     * @throws Exception if a connection fails
     */
    public static void main(String[] arguments) throws Exception {
        try (SocketEndpoint endpoint = new SocketEndpoint();
                RelayInstance relay = new RelayInstance("relay", "127.0.0.3");
                AskingInstance direct = new AskingInstance();
                AskingInstance relayed = new AskingInstance(relay)) {
            relay.register(endpoint.registration());
            Thread.startVirtualThread(() -> serve(endpoint));
            measureLatency(endpoint.registration(), direct, relayed);
        }
        measureMemory();
        System.exit(0);
    }

    private static void measureLatency(
            EndpointRegistration endpoint, AskingInstance direct, AskingInstance relayed)
            throws Exception {
        call(endpoint, direct, WARM_UP_CALLS);
        call(endpoint, relayed, WARM_UP_CALLS);
        for (int round = 0; round < 3; round++) {
            System.out.printf(
                    "request on a kept connection, median of %d: direct %.0f us, relayed %.0f us%n",
                    CALLS, call(endpoint, direct, CALLS), call(endpoint, relayed, CALLS));
        }
    }

    /** Sends requests one after another; returns the median time in microseconds. */
    private static double call(EndpointRegistration endpoint, AskingInstance asking, int calls)
            throws Exception {
        long[] nanos = new long[calls];
        for (int call = 0; call < calls; call++) {
            long started = System.nanoTime();
            RecordedAnswer answer = asking.send(endpoint);
            answer.end();
            nanos[call] = System.nanoTime() - started;
        }
        Arrays.sort(nanos);
        return nanos[calls / 2] / (double) TimeUnit.MICROSECONDS.toNanos(1);
    }

    private static void serve(SocketEndpoint endpoint) {
        try {
            while (true) {
                Socket socket = endpoint.accept();
                Thread.startVirtualThread(() -> respond(socket));
            }
        } catch (IOException closed) {
            // The measurement is over.
        }
    }

    private static void respond(Socket socket) {
        try (socket) {
            while (true) {
                SocketEndpoint.readHead(socket);
                SocketEndpoint.respond(socket, "id", "whole");
            }
        } catch (IOException closed) {
            // The measurement is over.
        }
    }

    private static void measureMemory() throws Exception {
        try (RelayInstance relay = new RelayInstance("relay", "127.0.0.3");
                SocketEndpoint endpoint = new SocketEndpoint()) {
            relay.register(endpoint.registration());
            List<Socket> sockets = new ArrayList<>();
            connectThrough(relay, endpoint, sockets, CONNECTIONS / 10);
            long before = usedHeapBytes();
            connectThrough(relay, endpoint, sockets, CONNECTIONS);
            long withRelay = usedHeapBytes() - before;
            before = usedHeapBytes();
            connectDirectly(endpoint, sockets, CONNECTIONS);
            long plain = usedHeapBytes() - before;
            System.out.printf(
                    "heap of a relayed connection, mean of %d: %d bytes (of %d with the sockets"
                            + " at both ends)%n",
                    CONNECTIONS, (withRelay - plain) / CONNECTIONS, withRelay / CONNECTIONS);
            for (Socket socket : sockets) {
                socket.close();
            }
        }
    }

    private static void connectThrough(
            RelayInstance relay, SocketEndpoint endpoint, List<Socket> sockets, int count)
            throws IOException {
        RelayRequest request =
                RelayRequest.newBuilder()
                        .setSender("asking")
                        .setEndpoint(SocketEndpoint.NAME)
                        .build();
        for (int connection = 0; connection < count; connection++) {
            Socket asking = new Socket(relay.address().getAddress(), relay.address().getPort());
            request.writeDelimitedTo(asking.getOutputStream());
            RelayReply.parseDelimitedFrom(asking.getInputStream());
            Socket accepted = endpoint.accept();
            exchange(asking, accepted);
            sockets.add(asking);
            sockets.add(accepted);
        }
    }

    private static void connectDirectly(SocketEndpoint endpoint, List<Socket> sockets, int count)
            throws IOException {
        for (int connection = 0; connection < count; connection++) {
            Socket asking = new Socket("127.0.0.1", endpoint.registration().port());
            Socket accepted = endpoint.accept();
            exchange(asking, accepted);
            sockets.add(asking);
            sockets.add(accepted);
        }
    }

    private static void exchange(Socket asking, Socket accepted) throws IOException {
        SocketEndpoint.write(asking, "a");
        accepted.getInputStream().read();
        SocketEndpoint.write(accepted, "b");
        asking.getInputStream().read();
    }

    private static long usedHeapBytes() throws InterruptedException {
        for (int collection = 0; collection < 3; collection++) {
            System.gc();
            Thread.sleep(SETTLE_MILLIS);
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}

package standthree;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients whose prompts are listed in very many short parts; then ordinary requests. */
final class ManyParts {
    private static final int ENGINES = 13;
    private static final int CLIENTS = 8;
    private static final int PARTS = 1_300;
    private static final long SENDING_MILLIS = 70_000;
    private static final long WATCH_MILLIS = 2_000;

    /** Late requests after which the clients stop: eight seconds without an answer. */
    private static final int STANDSTILL = 40;

    private static final long BEFORE_MILLIS = 1_000;
    private static final long JOIN_MILLIS = 500;
    private static final int FIRST_PART = 0x10000000;
    private static final AtomicInteger PART = new AtomicInteger();
    private static final AtomicInteger ANSWERED = new AtomicInteger();

    private ManyParts() {}

    public static void main(String[] arguments) throws Exception {
        System.exit(run(arguments[0], Integer.parseInt(arguments[1])));
    }

    private static int run(String recordFile, int requests) throws Exception {
        try (Drill drill = new Drill(recordFile)) {
            drill.store().put("op", "config", OrdinaryRequests.CONFIGURATION.formatted(7));
            for (int number = 0; number < ENGINES; number++) {
                drill.engine("i-pool-" + number, "pool", 64);
            }
            drill.engine("i-desk", "desk", 6);
            drill.engine("i-meters", "meters", 1);
            List<Gateway> gateways = List.of(drill.gateway("front-1"), drill.gateway("front-2"));
            for (Gateway gateway : gateways) {
                if (!gateway.awaitReady()) {
                    return Drill.NOT_RUN;
                }
            }
            // The servers count as cold for cold_start_s after their start.
            Thread.sleep(5_000);
            List<OrdinaryRequests> ordinary = new ArrayList<>();
            for (Gateway gateway : gateways) {
                ordinary.add(new OrdinaryRequests(gateway, drill.record()).start());
            }
            Thread.sleep(BEFORE_MILLIS);
            for (OrdinaryRequests each : ordinary) {
                if (each.answered() == 0) {
                    return Drill.NOT_RUN;
                }
            }
            send(drill, gateways.getFirst(), requests, ordinary.getFirst());
            boolean broken = false;
            for (OrdinaryRequests each : ordinary.reversed()) {
                each.close();
                broken |= each.broken();
                drill.record().line(each.result());
            }
            drill.record()
                    .line("out of memory: " + gateways.getFirst().logged("OutOfMemoryError"));
            return broken ? Drill.BROKEN : Drill.HELD;
        }
    }

    /** Sends until all requests are answered, or the process has come to a standstill or ended. */
    private static void send(
            Drill drill, Gateway gateway, int requests, OrdinaryRequests ordinary)
            throws InterruptedException {
        int parts = drill.trouble() ? PARTS : 3;
        drill.record()
                .line(requests + " requests from " + CLIENTS + " clients, each with a prompt of "
                        + parts + " parts and a head of " + head(parts, "0").length() + " bytes");
        List<Thread> clients = new ArrayList<>();
        AtomicInteger left = new AtomicInteger(requests);
        for (int client = 0; client < CLIENTS; client++) {
            clients.add(Thread.ofVirtual().start(() -> send(gateway, left, parts)));
        }
        long until = System.nanoTime() + SENDING_MILLIS * 1_000_000;
        while (left.get() > 0 && gateway.alive() && System.nanoTime() < until
                && ordinary.late() < STANDSTILL) {
            Thread.sleep(WATCH_MILLIS);
            drill.record()
                    .line("answered with 200 so far: " + ANSWERED.get() + "; "
                            + ordinary.result());
        }
        left.set(0);
        for (Thread client : clients) {
            client.join(JOIN_MILLIS);
        }
    }

    private static void send(Gateway gateway, AtomicInteger left, int parts) {
        int failures = 0;
        while (left.get() > 0 && failures < 20) {
            try (Socket socket = gateway.connect(8_000)) {
                int number;
                while ((number = left.decrementAndGet()) >= 0) {
                    Http.write(socket.getOutputStream(), head(parts, "parts-" + number));
                    Http.Message answer = Http.read(socket.getInputStream(), true);
                    if (answer.status() == 200) {
                        ANSWERED.incrementAndGet();
                    } else {
                        left.incrementAndGet();
                        // The client comes back when it is told to, at once if it isn't.
                        String seconds = answer.header("Retry-After");
                        Thread.sleep(seconds.isEmpty() ? 0 : (long) (1_000 * Double.parseDouble(seconds)));
                    }
                }
            } catch (IOException | InterruptedException failure) {
                failures++;
            }
        }
    }

    /** Returns a head whose prompt has parts of one token each that no prompt had before. */
    private static String head(int parts, String id) {
        StringBuilder prefix = new StringBuilder();
        for (int part = 0; part < parts; part++) {
            prefix.append(part == 0 ? "" : ",")
                    .append(Integer.toHexString(FIRST_PART + PART.incrementAndGet()))
                    .append(":1");
        }
        return Site.head(
                "POST",
                "/chat/1",
                id,
                8_000,
                "X-Wasabilug-Model: m\r\nX-Wasabilug-Token-Counts: " + parts + ",10\r\n"
                        + "X-Wasabilug-Prefix-Hash: " + prefix + "\r\n"
                        + "X-Wasabilug-Pieces: 0\r\n");
    }
}

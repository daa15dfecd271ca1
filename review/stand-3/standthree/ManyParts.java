package standthree;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients whose prompts are listed in very many short parts; then ordinary requests. */
final class ManyParts {
    private static final int ORDINARY = 10;
    private static final int ENGINES = 13;
    private static final int CLIENTS = 8;
    private static final int PARTS = 1_300;
    private static final long SENDING_MILLIS = 70_000;
    private static final long WATCH_MILLIS = 2_000;

    /** Watches in a row, of two seconds and ten unanswered requests of a second each. */
    private static final int HUNG_WATCHES = 2;

    private static final long JOIN_MILLIS = 1_000;
    private static final int FIRST_PART = 0x10000000;
    private static final AtomicInteger PART = new AtomicInteger();
    private static final AtomicInteger ANSWERED = new AtomicInteger();

    private ManyParts() {}

    public static void main(String[] arguments) throws Exception {
        System.exit(run(arguments[0], Integer.parseInt(arguments[1])));
    }

    private static int run(String recordFile, int requests) throws Exception {
        try (Drill drill = new Drill(recordFile)) {
            drill.configure(7);
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
            for (Gateway gateway : gateways) {
                if (askAll(drill, gateway, "before") < ORDINARY) {
                    return Drill.NOT_RUN;
                }
            }
            boolean hung = send(drill, gateways.getFirst(), requests);
            drill.record().line("no ordinary request was served for over 10 s: " + hung);
            boolean broken = hung;
            for (Gateway gateway : gateways) {
                int served = askAll(drill, gateway, "after");
                boolean ended = !gateway.alive();
                broken |= ended;
                drill.record()
                        .line(gateway.name() + " alive: " + !ended + ", exit value: "
                                + gateway.exitValue() + ", served afterwards: " + served + " of "
                                + ORDINARY + ", out of memory: "
                                + gateway.logged("OutOfMemoryError"));
            }
            return broken ? Drill.BROKEN : Drill.HELD;
        }
    }

    private static int askAll(Drill drill, Gateway gateway, String name) {
        int served = 0;
        for (int number = 0; number < ORDINARY; number++) {
            String id = name + number + "-" + System.nanoTime();
            int status = drill.ask(gateway, Site.head("GET", "/lookup/1", id, 1_000, ""), 1_000);
            served += status == 200 ? 1 : 0;
        }
        drill.record()
                .line("ordinary requests " + name + " at " + gateway.name() + ": " + served + " of "
                        + ORDINARY + " served; ready: " + gateway.ready(1_000) + ", alive: "
                        + gateway.alive() + ", " + gateway.residentMegabytes() + " MB resident");
        return served;
    }

    /** Returns whether the process came to a standstill meanwhile. */
    private static boolean send(Drill drill, Gateway gateway, int requests)
            throws InterruptedException {
        int parts = drill.trouble() ? PARTS : 3;
        drill.record()
                .line(requests + " requests from " + CLIENTS + " clients, each with a prompt of "
                        + parts + " parts and a head of "
                        + head(parts, "0").length() + " bytes");
        List<Thread> clients = new ArrayList<>();
        AtomicInteger left = new AtomicInteger(requests);
        for (int client = 0; client < CLIENTS; client++) {
            clients.add(Thread.ofVirtual().start(() -> send(gateway, left, parts)));
        }
        long until = System.nanoTime() + SENDING_MILLIS * 1_000_000;
        int unserved = 0;
        while (left.get() > 0 && gateway.alive() && System.nanoTime() < until
                && unserved < HUNG_WATCHES) {
            Thread.sleep(WATCH_MILLIS);
            unserved = askAll(drill, gateway, "meanwhile") == 0 ? unserved + 1 : 0;
            drill.record().line("answered with 200 so far: " + ANSWERED.get());
        }
        left.set(0);
        for (Thread client : clients) {
            client.join(JOIN_MILLIS);
        }
        drill.record().line("answered with 200: " + ANSWERED.get());
        return unserved >= HUNG_WATCHES;
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

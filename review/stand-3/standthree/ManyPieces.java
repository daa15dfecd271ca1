package standthree;

import java.io.IOException;
import java.net.Socket;

/** One request whose head asks for very many pieces of a stage; then ordinary requests. */
final class ManyPieces {
    private static final int ORDINARY = 10;
    private static final int ROUNDS = 4;
    private static final long PAUSE_MILLIS = 5_000;

    private ManyPieces() {}

    public static void main(String[] arguments) throws Exception {
        System.exit(run(arguments[0], arguments[1]));
    }

    private static int run(String recordFile, String pieces) throws Exception {
        try (Drill drill = new Drill(recordFile)) {
            drill.configure(7);
            drill.engine("i-pool", "pool", 64);
            drill.engine("i-desk", "desk", 6);
            drill.engine("i-meters", "meters", 1);
            Gateway gateway = drill.gateway("front-1");
            if (!gateway.awaitReady()) {
                return Drill.NOT_RUN;
            }
            int before = askAll(drill, gateway, "before");
            if (before < ORDINARY) {
                drill.record().line("ordinary requests are not served before the disruption");
                return Drill.NOT_RUN;
            }
            int asked = Integer.parseInt(pieces);
            sendWithPieces(drill, gateway, drill.trouble() ? asked : 2);
            int after = 0;
            for (int round = 0; round < ROUNDS && after < ORDINARY && gateway.alive(); round++) {
                Thread.sleep(PAUSE_MILLIS);
                after = Math.max(after, askAll(drill, gateway, "after"));
            }
            boolean broken = !gateway.alive() || after == 0;
            drill.record()
                    .line("alive: " + gateway.alive() + ", exit value: " + gateway.exitValue()
                            + ", served afterwards: " + after + " of " + ORDINARY
                            + ", out of memory: " + gateway.logged("OutOfMemoryError"));
            return broken ? Drill.BROKEN : Drill.HELD;
        }
    }

    private static int askAll(Drill drill, Gateway gateway, String name) {
        int served = 0;
        for (int number = 0; number < ORDINARY; number++) {
            String id = name + number + "-" + System.nanoTime();
            int status = drill.ask(gateway, Site.head("GET", "/lookup/1", id, 1_500, ""), 1_500);
            served += status == 200 ? 1 : 0;
        }
        drill.record()
                .line("ordinary requests " + name + ": " + served + " of " + ORDINARY
                        + " served; ready: " + gateway.ready(1_000) + ", alive: " + gateway.alive()
                        + ", " + gateway.residentMegabytes() + " MB resident");
        return served;
    }

    private static void sendWithPieces(Drill drill, Gateway gateway, int pieces)
            throws IOException, InterruptedException {
        Socket socket = gateway.connect(8_000);
        String more = "X-Wasabilug-Model: m\r\nX-Wasabilug-Token-Counts: 100,10\r\n"
                + "X-Wasabilug-Prefix-Hash: 5c1e07a2:60,91bd3f06:40\r\n"
                + "X-Wasabilug-Pieces: " + pieces + "\r\nX-Wasabilug-Piece-Key: key\r\n";
        drill.record().line("one request with X-Wasabilug-Pieces: " + pieces);
        Http.write(socket.getOutputStream(), Site.head("POST", "/chat/1", "many", 8_000, more));
        Thread.ofVirtual()
                .start(
                        () -> {
                            try (socket) {
                                Http.Message answer = Http.read(socket.getInputStream(), true);
                                drill.record().line("its answer: " + answer.firstLine());
                            } catch (IOException failure) {
                                drill.record().line("its answer: none, " + failure.getMessage());
                            }
                        });
    }
}

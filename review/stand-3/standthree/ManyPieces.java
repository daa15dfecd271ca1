package standthree;

import java.io.IOException;
import java.net.Socket;

/** One request whose head asks for very many pieces of a stage; then ordinary requests. */
final class ManyPieces {
    private static final long BEFORE_MILLIS = 3_000;
    private static final int SECONDS = 30;

    private ManyPieces() {}

    public static void main(String[] arguments) throws Exception {
        System.exit(run(arguments[0], arguments[1]));
    }

    private static int run(String recordFile, String pieces) throws Exception {
        try (Drill drill = new Drill(recordFile)) {
            drill.store().put("op", "config", OrdinaryRequests.CONFIGURATION.formatted(7));
            drill.engine("i-pool", "pool", 64);
            drill.engine("i-desk", "desk", 6);
            drill.engine("i-meters", "meters", 1);
            Gateway gateway = drill.gateway("front-1");
            if (!gateway.awaitReady()) {
                return Drill.NOT_RUN;
            }
            OrdinaryRequests ordinary = new OrdinaryRequests(gateway, drill.record()).start();
            Thread.sleep(BEFORE_MILLIS);
            if (ordinary.answered() == 0) {
                return Drill.NOT_RUN;
            }
            drill.record().line("before: " + ordinary.result());
            sendWithPieces(drill, gateway, drill.trouble() ? Integer.parseInt(pieces) : 2);
            for (int second = 0; second < SECONDS && gateway.alive(); second++) {
                Thread.sleep(1_000);
            }
            ordinary.close();
            drill.record().line("out of memory: " + gateway.logged("OutOfMemoryError"));
            drill.record().line(ordinary.result());
            return ordinary.broken() ? Drill.BROKEN : Drill.HELD;
        }
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

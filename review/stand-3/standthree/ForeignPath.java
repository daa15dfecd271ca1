package standthree;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.concurrent.atomic.AtomicInteger;

/** A client sends a path in UTF-8 as it is; what the server is to run is compared with it. */
final class ForeignPath {
    private static final String[] PLAIN = {"/entry/obras/2f", "/lookup/obras?q=vila"};
    private static final String[] FOREIGN = {"/entry/ligação/2f", "/lookup/obras?q=vila-são-joão"};
    private static final int ROUNDS = 5;

    private ForeignPath() {}

    public static void main(String[] arguments) throws Exception {
        System.exit(run(arguments[0]));
    }

    /** A server that notes which targets it runs. */
    private static final class Desk extends Engine {
        private final AtomicInteger mChanged = new AtomicInteger();
        private volatile String mExpected = "";

        private Desk(Drill drill) throws IOException {
            super("i-desk", "desk", 6, drill.store(), drill.record());
        }

        @Override
        void answer(Http.Message request, OutputStream out, Socket connection)
                throws IOException, InterruptedException {
            boolean same = request.target().equals(mExpected);
            mChanged.addAndGet(same ? 0 : 1);
            record(
                    "runs " + request.header("X-Wasabilug-Request-Id") + " with target "
                            + hex(request.target()) + (same ? "" : ", which no client sent"));
            super.answer(request, out, connection);
        }
    }

    private static String hex(String target) {
        byte[] bytes = target.getBytes(StandardCharsets.UTF_8);
        return "'" + target + "' (" + HexFormat.of().formatHex(bytes) + ")";
    }

    private static int run(String recordFile) throws Exception {
        try (Drill drill = new Drill(recordFile)) {
            drill.configure(7);
            Desk desk = drill.with(new Desk(drill));
            desk.register("ready");
            drill.engine("i-pool", "pool", 64);
            drill.engine("i-meters", "meters", 1);
            Gateway gateway = drill.gateway("front-1");
            if (!gateway.awaitReady()) {
                return Drill.NOT_RUN;
            }
            Thread.sleep(1_000);
            int served = 0;
            for (int round = 0; round < ROUNDS; round++) {
                for (String target : drill.trouble() ? FOREIGN : PLAIN) {
                    String id = "path-" + System.nanoTime();
                    desk.mExpected = target;
                    drill.record().line("client sends " + id + " with target " + hex(target));
                    String method = target.startsWith("/entry/") ? "POST" : "GET";
                    int status =
                            drill.ask(gateway, Site.head(method, target, id, 1_500, ""), 2_000);
                    drill.record().line("client gets " + status);
                    served += status == 200 ? 1 : 0;
                }
            }
            int changed = desk.mChanged.get();
            drill.record().line("answered with 200: " + served + "; run with another target: " + changed);
            if (changed > 0) {
                return Drill.BROKEN;
            }
            return drill.trouble() || served > 0 ? Drill.HELD : Drill.NOT_RUN;
        }
    }
}

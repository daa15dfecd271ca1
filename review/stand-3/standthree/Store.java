package standthree;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: rows that are read, followed, and written under conditions. */
final class Store implements AutoCloseable {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Map<String, TreeMap<String, Row>> mTables = new HashMap<>();
    private final Http.Server mServer;
    private final Record mRecord;
    private final long mStartNanos = System.nanoTime();
    private long mVersion = 1;

    private record Row(String value, long version, boolean removed) {}

    Store(Record record) throws IOException {
        mRecord = record;
        mServer = new Http.Server(this::handle);
    }

    String address() {
        return mServer.address();
    }

    /** Writes a row as the operator or an engine does. */
    synchronized void put(String table, String key, String json) {
        String value =
                Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8));
        putEncoded(table, key, value);
    }

    private void putEncoded(String table, String key, String value) {
        table(table).put(key, new Row(value, ++mVersion, false));
        notifyAll();
    }

    synchronized void remove(String table, String key) {
        table(table).put(key, new Row("", ++mVersion, true));
        notifyAll();
    }

    private TreeMap<String, Row> table(String name) {
        return mTables.computeIfAbsent(name, each -> new TreeMap<>());
    }

    private void handle(Http.Message request, OutputStream out, Socket connection)
            throws IOException, InterruptedException {
        String target = request.target();
        if (target.startsWith("/v1/rows-get")) {
            respond(out, 200, read(query(target)));
        } else if (target.startsWith("/v1/rows-feed")) {
            respond(out, 200, feed(query(target)));
        } else if (target.startsWith("/v1/rows-tx")) {
            transact(MAPPER.readTree(request.body()), out);
        } else {
            respond(out, 404, MAPPER.createObjectNode());
        }
    }

    private static void respond(OutputStream out, int status, JsonNode body) throws IOException {
        Http.respond(
                out,
                status + (status == 200 ? " OK" : " No"),
                "Content-Type: application/json\r\n",
                MAPPER.writeValueAsString(body));
    }

    private static Map<String, String> query(String target) {
        Map<String, String> query = new HashMap<>();
        for (String pair : target.substring(target.indexOf('?') + 1).split("&")) {
            int equals = pair.indexOf('=');
            query.put(
                    pair.substring(0, equals),
                    URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return query;
    }

    private synchronized JsonNode read(Map<String, String> query) {
        List<Map.Entry<String, Row>> rows = new ArrayList<>();
        for (Map.Entry<String, Row> row : table(query.get("table")).entrySet()) {
            if (!row.getValue().removed() && row.getKey().compareTo(query.getOrDefault("from", "")) >= 0) {
                rows.add(row);
            }
        }
        return page(query.get("table"), rows);
    }

    private synchronized JsonNode feed(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long untilNanos = System.nanoTime() + Long.parseLong(query.get("wait_ms")) * 1_000_000;
        while (true) {
            List<Map.Entry<String, Row>> rows = new ArrayList<>();
            for (Map.Entry<String, Row> row : table(query.get("table")).entrySet()) {
                if (row.getValue().version() > after) {
                    rows.add(row);
                }
            }
            long millis = (untilNanos - System.nanoTime()) / 1_000_000;
            if (!rows.isEmpty() || millis <= 0) {
                rows.sort((a, b) -> Long.compare(a.getValue().version(), b.getValue().version()));
                return page(query.get("table"), rows);
            }
            wait(millis);
        }
    }

    private JsonNode page(String table, List<Map.Entry<String, Row>> rows) {
        ObjectNode page = MAPPER.createObjectNode();
        ArrayNode list = page.putArray("rows");
        for (Map.Entry<String, Row> row : rows) {
            ObjectNode entry =
                    list.addObject()
                            .put("table", table)
                            .put("part", "")
                            .put("key", row.getKey())
                            .put("value", row.getValue().value())
                            .put("ver", row.getValue().version());
            if (row.getValue().removed()) {
                entry.put("removed", true);
            }
        }
        page.put("more_pages", false).put("ver", mVersion);
        return page.put("now_ms", (System.nanoTime() - mStartNanos) / 1_000_000);
    }

    private void transact(JsonNode transaction, OutputStream out) throws IOException {
        ObjectNode answer = MAPPER.createObjectNode();
        boolean holds = apply(transaction, answer);
        respond(out, holds ? 200 : 412, answer);
    }

    private synchronized boolean apply(JsonNode transaction, ObjectNode answer) {
        boolean holds = true;
        List<Map.Entry<String, Row>> current = new ArrayList<>();
        String table = "";
        for (JsonNode condition : transaction.path("expected_rev")) {
            table = condition.path("table").asText();
            String key = condition.path("key").asText();
            Row row = table(table).get(key);
            boolean exists = row != null && !row.removed();
            holds &= condition.path("ver").asLong() == (exists ? row.version() : 0);
            if (exists) {
                current.add(Map.entry(key, row));
            }
        }
        if (!holds) {
            answer.setAll((ObjectNode) page(table, current));
            return false;
        }
        for (JsonNode put : transaction.path("puts")) {
            putEncoded(
                    put.path("table").asText(), put.path("key").asText(), put.path("value").asText());
        }
        for (JsonNode dropped : transaction.path("remove")) {
            remove(dropped.path("table").asText(), dropped.path("key").asText());
        }
        answer.put("ver", mVersion).put("now_ms", (System.nanoTime() - mStartNanos) / 1_000_000);
        return true;
    }

    @Override
    public void close() throws IOException {
        mServer.close();
    }
}

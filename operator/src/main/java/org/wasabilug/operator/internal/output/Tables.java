package org.wasabilug.operator.internal.output;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.wasabilug.operator.internal.client.Reply;

/** Formats responses of instances as tables. */
public final class Tables {
    private static final String UNKNOWN = "-";

    private Tables() {}

    /**
     * Formats the active configuration.
     *
     * @param configuration response to GET /v1/configuration
     * @return a row for each object
     */
    public static TextTable configuration(JsonNode configuration) {
        TextTable table = new TextTable("KIND", "NAME", "TICKET", "STATE");
        for (JsonNode object : configuration.path("objects")) {
            table.add(
                    object.path("kind").asText(),
                    object.path("name").asText(),
                    object.path("ticket").asText(),
                    object.path("state").isNull() ? "removed" : object.path("state").toString());
        }
        return table;
    }

    /**
     * Formats the status of all instances.
     *
     * @param replies outcomes of GET /v1/status
     * @return a row for each instance
     */
    public static TextTable status(List<Reply> replies) {
        TextTable table =
                new TextTable(
                        "INSTANCE",
                        "NAME",
                        "DOMAIN",
                        "READY",
                        "TICKET",
                        "SEQUENCE",
                        "AGE",
                        "PLATFORM",
                        "IN FLIGHT",
                        "WAITING");
        replies.forEach(reply -> addStatus(table, reply));
        return table;
    }

    private static void addStatus(TextTable table, Reply reply) {
        switch (reply) {
            case Reply.Answered answered -> addStatus(table, answered);
            case Reply.Refused refused ->
                    addWithoutStatus(table, refused.instance().toString(), refused.code());
            case Reply.Unreachable unreachable ->
                    addWithoutStatus(table, unreachable.instance().toString(), "unreachable");
        }
    }

    private static void addStatus(TextTable table, Reply.Answered answered) {
        JsonNode status = answered.body();
        table.add(
                answered.instance().toString(),
                status.path("name").asText(),
                status.path("failureDomain").asText(),
                readiness(status),
                status.path("highestTicket").asText(),
                status.path("feedSequence").asText(),
                age(status.path("configurationAgeMilliseconds").asLong()),
                status.path("platformReachable").asBoolean() ? "reachable" : "unreachable",
                status.path("requestsInFlight").asText(),
                status.path("callsWaiting").asText());
    }

    private static String readiness(JsonNode status) {
        if (status.path("stopping").asBoolean()) {
            return "stopping";
        }
        return status.path("ready").asBoolean() ? "yes" : "no";
    }

    private static String age(long milliseconds) {
        return milliseconds < 0 ? "never read" : milliseconds + " ms";
    }

    private static void addWithoutStatus(TextTable table, String instance, String reason) {
        table.add(
                instance, UNKNOWN, UNKNOWN, reason, UNKNOWN, UNKNOWN, UNKNOWN, UNKNOWN, UNKNOWN,
                UNKNOWN);
    }

    /**
     * Formats the endpoints and their state.
     *
     * @param status response to GET /v1/status
     * @return a row for each endpoint
     */
    public static TextTable endpoints(JsonNode status) {
        TextTable table =
                new TextTable("ENDPOINT", "POOL", "DOMAIN", "STATE", "IN FLIGHT", "ALLOWANCE");
        for (JsonNode endpoint : status.path("endpoints")) {
            table.add(
                    endpoint.path("name").asText(),
                    endpoint.path("pool").asText(),
                    endpoint.path("failureDomain").asText(),
                    endpoint.path("state").asText(),
                    endpoint.path("inFlight").asText(),
                    endpoint.path("allowance").asText());
        }
        return table;
    }

    /**
     * Formats the decisions about a request.
     *
     * @param explanation response to GET /v1/requests/ID/decisions
     * @return a row for each decision, oldest first
     */
    public static TextTable decisions(JsonNode explanation) {
        TextTable table =
                new TextTable("KIND", "STAGE", "CANDIDATES", "CHOSEN", "BUDGET LEFT", "REASON");
        for (JsonNode decision : explanation.path("decisions")) {
            table.add(
                    decision.path("kind").asText(),
                    decision.path("stage").asText(),
                    decision.path("candidates").asText(),
                    decision.path("chosen").asText(),
                    decision.path("remainingMilliseconds").asText() + " ms",
                    decision.path("reason").asText());
        }
        return table;
    }
}

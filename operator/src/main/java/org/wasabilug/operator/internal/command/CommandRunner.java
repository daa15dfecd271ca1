package org.wasabilug.operator.internal.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Function;
import org.wasabilug.operator.ExitCode;
import org.wasabilug.operator.internal.client.Fleet;
import org.wasabilug.operator.internal.client.Reply;
import org.wasabilug.operator.internal.output.OperatorReporter;
import org.wasabilug.operator.internal.output.Printer;
import org.wasabilug.operator.internal.output.Tables;
import org.wasabilug.operator.internal.output.TextTable;
import org.wasabilug.operator.internal.settings.Command;

/** Runs the commands that send requests to instances. */
public final class CommandRunner {
    private final Fleet mFleet;
    private final Printer mPrinter;
    private final TicketCommands mTickets;

    /**
     * Creates the runner.
     *
     * @param fleet the instances
     * @param printer prints results
     * @param tickets runs the commands that create or submit tickets
     */
    public CommandRunner(Fleet fleet, Printer printer, TicketCommands tickets) {
        mFleet = fleet;
        mPrinter = printer;
        mTickets = tickets;
    }

    /**
     * Runs a command.
     *
     * @param command the command; one that sends no requests yields {@link ExitCode#INVALID_USE}
     * @return the exit code
     */
    public ExitCode run(Command command) {
        return switch (command) {
            case Command.Check check -> mTickets.check(check.file());
            case Command.Submit submit -> mTickets.submit(submit.file());
            case Command.Show show -> printTable("/v1/configuration", Tables::configuration);
            case Command.Status status -> printStatus();
            case Command.Endpoints endpoints -> printTable("/v1/status", Tables::endpoints);
            case Command.TakeOut takeOut ->
                    mTickets.change(ObjectEdit.takeOut(takeOut.domain()), takeOut.number());
            case Command.BringBack bringBack ->
                    mTickets.change(ObjectEdit.bringBack(bringBack.domain()), bringBack.number());
            case Command.Drain drain ->
                    mTickets.change(ObjectEdit.drain(drain.endpoint()), drain.number());
            case Command.Explain explain ->
                    printTable(decisionsPath(explain.request()), Tables::decisions);
            case Command.HashKey hashKey -> ExitCode.INVALID_USE;
        };
    }

    private static String decisionsPath(String request) {
        String encoded = URLEncoder.encode(request, StandardCharsets.UTF_8).replace("+", "%20");
        return "/v1/requests/" + encoded + "/decisions";
    }

    private ExitCode printTable(String path, Function<JsonNode, TextTable> table) {
        return switch (mFleet.get(path)) {
            case Reply.Answered answered -> {
                mPrinter.result(answered.body(), table.apply(answered.body()));
                yield ExitCode.DONE;
            }
            case Reply.Refused refused -> {
                mPrinter.refusal(refused);
                yield ExitCode.REFUSED;
            }
            case Reply.Unreachable unreachable -> {
                mPrinter.failure(OperatorReporter.unreachable(unreachable.instance()));
                yield ExitCode.UNREACHABLE;
            }
        };
    }

    private ExitCode printStatus() {
        List<Reply> replies = mFleet.getFromAll("/v1/status");
        ArrayNode all = JsonNodeFactory.instance.arrayNode();
        replies.forEach(reply -> all.add(statusJson(reply)));
        mPrinter.result(all, Tables.status(replies));
        return replies.stream().anyMatch(Reply.Answered.class::isInstance)
                ? ExitCode.DONE
                : ExitCode.UNREACHABLE;
    }

    private static JsonNode statusJson(Reply reply) {
        return switch (reply) {
            case Reply.Answered answered ->
                    JsonNodeFactory.instance
                            .objectNode()
                            .put("instance", answered.instance().toString())
                            .set("status", answered.body());
            case Reply.Refused refused ->
                    JsonNodeFactory.instance
                            .objectNode()
                            .put("instance", refused.instance().toString())
                            .set("problem", refused.problem());
            case Reply.Unreachable unreachable ->
                    JsonNodeFactory.instance
                            .objectNode()
                            .put("instance", unreachable.instance().toString())
                            .put("reachable", false);
        };
    }
}

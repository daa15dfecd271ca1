package org.wasabilug.operator.internal.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Function;
import java.util.stream.StreamSupport;
import org.wasabilug.internal.ticket.TicketCodec;
import org.wasabilug.internal.ticket.TicketParse;
import org.wasabilug.model.OperatorName;
import org.wasabilug.operator.ExitCode;
import org.wasabilug.operator.internal.client.Fleet;
import org.wasabilug.operator.internal.client.Reply;
import org.wasabilug.operator.internal.output.OperatorReporter;
import org.wasabilug.operator.internal.output.Printer;

/** Runs the commands that create, check and submit tickets. */
public final class TicketCommands {
    private final Fleet mFleet;
    private final Printer mPrinter;
    private final OperatorName mOperator;

    /**
     * Creates the commands.
     *
     * @param fleet the instances
     * @param printer prints results
     * @param operator name of the operator who submits tickets
     */
    public TicketCommands(Fleet fleet, Printer printer, OperatorName operator) {
        mFleet = fleet;
        mPrinter = printer;
        mOperator = operator;
    }

    ExitCode check(Path file) {
        return withTicket(file, ticket -> post("/v1/tickets/check", ticket));
    }

    ExitCode submit(Path file) {
        return withTicket(file, ticket -> post("/v1/tickets", ticket));
    }

    private ExitCode withTicket(Path file, Function<String, ExitCode> command) {
        String text;
        try {
            text = Files.readString(file);
        } catch (IOException exception) {
            mPrinter.failure(OperatorReporter.unreadableFile(file));
            return ExitCode.INVALID_USE;
        }
        return switch (TicketCodec.parse(text)) {
            case TicketParse.Rejected rejected -> {
                mPrinter.findings(rejected.findings());
                yield ExitCode.INVALID_USE;
            }
            case TicketParse.Parsed parsed -> command.apply(text);
        };
    }

    /** Reads an object, changes one field and submits the complete new state. */
    ExitCode change(ObjectEdit edit, OptionalLong number) {
        return switch (mFleet.get("/v1/configuration")) {
            case Reply.Answered answered -> change(edit, number, answered.body());
            case Reply.Refused refused -> {
                mPrinter.refusal(refused);
                yield ExitCode.REFUSED;
            }
            case Reply.Unreachable unreachable -> reportUnreachable(unreachable);
        };
    }

    private ExitCode change(ObjectEdit edit, OptionalLong number, JsonNode configuration) {
        Optional<ObjectNode> state = stateOf(edit, configuration);
        if (state.isEmpty()) {
            mPrinter.failure(OperatorReporter.noSuchObject(edit.kind(), edit.name()));
            return ExitCode.REFUSED;
        }
        ObjectNode ticket =
                JsonNodeFactory.instance
                        .objectNode()
                        .put("number", number.orElseGet(() -> nextNumber(configuration)))
                        .put("operator", mOperator.value());
        ticket.putArray("changes").add(edit.applyTo(state.get()));
        return post("/v1/tickets", ticket.toString());
    }

    private static Optional<ObjectNode> stateOf(ObjectEdit edit, JsonNode configuration) {
        return StreamSupport.stream(configuration.path("objects").spliterator(), false)
                .filter(object -> object.path("kind").asText().equals(edit.kind()))
                .filter(object -> object.path("name").asText().equals(edit.name()))
                .map(object -> object.path("state"))
                .filter(ObjectNode.class::isInstance)
                .map(ObjectNode.class::cast)
                .findFirst();
    }

    private static long nextNumber(JsonNode configuration) {
        return StreamSupport.stream(configuration.path("objects").spliterator(), false)
                        .mapToLong(object -> object.path("ticket").asLong())
                        .max()
                        .orElse(0)
                + 1;
    }

    private ExitCode post(String path, String ticket) {
        return switch (mFleet.post(path, ticket)) {
            case Reply.Answered answered -> {
                mPrinter.result(answered.body(), describe(answered.body()));
                yield ExitCode.DONE;
            }
            case Reply.Refused refused -> {
                mPrinter.refusal(refused);
                yield Fleet.isOutcomeUnknown(refused) ? ExitCode.OUTCOME_UNKNOWN : ExitCode.REFUSED;
            }
            case Reply.Unreachable unreachable -> reportUnreachable(unreachable);
        };
    }

    private static String describe(JsonNode answer) {
        String ticket = "Ticket " + answer.path("number").asText();
        return switch (answer.path("outcome").asText()) {
            case "ACCEPTED" -> ticket + " accepted, sequence " + answer.path("sequence").asText();
            case "ALREADY_ACCEPTED" ->
                    ticket + " was accepted before, sequence " + answer.path("sequence").asText();
            default -> ticket + " has no findings; it was not submitted";
        };
    }

    private ExitCode reportUnreachable(Reply.Unreachable reply) {
        if (reply.sent()) {
            mPrinter.failure(OperatorReporter.responseLost(reply.instance()));
            return ExitCode.OUTCOME_UNKNOWN;
        }
        mPrinter.failure(OperatorReporter.unreachable(reply.instance()));
        return ExitCode.UNREACHABLE;
    }
}

package org.wasabilug.entry.internal.operators;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.wasabilug.entry.TicketChecker;
import org.wasabilug.entry.TicketReader;
import org.wasabilug.entry.internal.actor.InstanceMessage;
import org.wasabilug.entry.internal.http.EntryReporter;
import org.wasabilug.entry.internal.http.Json;
import org.wasabilug.entry.internal.http.Responses;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.internal.event.TicketAnswer;
import org.wasabilug.model.ChangeTicket;
import org.wasabilug.model.Finding;
import org.wasabilug.model.OperatorName;
import org.wasabilug.model.Refusal;

/** Validates and submits change tickets. */
final class TicketHandler {
    private final TicketReader mReader;
    private final TicketChecker mChecker;
    private final Supplier<Configuration> mConfiguration;
    private final Consumer<InstanceMessage> mInstance;

    TicketHandler(
            TicketReader reader,
            TicketChecker checker,
            Supplier<Configuration> configuration,
            Consumer<InstanceMessage> instance) {
        mReader = reader;
        mChecker = checker;
        mConfiguration = configuration;
        mInstance = instance;
    }

    CompletionStage<HttpResponse> check(OperatorName operator, String text) {
        return switch (mReader.read(text)) {
            case TicketReader.Rejected rejected -> invalid(rejected.findings());
            case TicketReader.Parsed parsed -> check(operator, parsed.ticket());
        };
    }

    private CompletionStage<HttpResponse> check(OperatorName operator, ChangeTicket ticket) {
        if (!ticket.operator().equals(operator)) {
            return problem(EntryReporter.ticketOfOtherOperator(ticket.operator().value()));
        }
        List<Finding> findings = mChecker.check(ticket, mConfiguration.get());
        return findings.isEmpty() ? answer(ticket, "NO_FINDINGS") : invalid(findings);
    }

    CompletionStage<HttpResponse> submit(OperatorName operator, String text) {
        return switch (mReader.read(text)) {
            case TicketReader.Rejected rejected -> invalid(rejected.findings());
            case TicketReader.Parsed parsed -> submit(operator, parsed.ticket());
        };
    }

    private CompletionStage<HttpResponse> submit(OperatorName operator, ChangeTicket ticket) {
        if (!ticket.operator().equals(operator)) {
            return problem(EntryReporter.ticketOfOtherOperator(ticket.operator().value()));
        }
        CompletableFuture<TicketAnswer> answer = new CompletableFuture<>();
        mInstance.accept(new InstanceMessage.TicketArrived(ticket, answer));
        return answer.thenApply(each -> responseTo(ticket, each));
    }

    private static HttpResponse responseTo(ChangeTicket ticket, TicketAnswer answer) {
        return switch (answer) {
            case TicketAnswer.Accepted accepted ->
                    Responses.json(
                            201, body(ticket, "ACCEPTED").put("sequence", accepted.sequence()));
            case TicketAnswer.AlreadyAccepted accepted ->
                    Responses.json(
                            200,
                            body(ticket, "ALREADY_ACCEPTED").put("sequence", accepted.sequence()));
            case TicketAnswer.Superseded superseded ->
                    Responses.problem(
                            EntryReporter.superseded(
                                    superseded.object().toString(), superseded.newerNumber()));
            case TicketAnswer.Conflict conflict ->
                    Responses.problem(EntryReporter.ticketConflict(ticket.number()));
            case TicketAnswer.Invalid invalid ->
                    Responses.problem(EntryReporter.invalidTicket(invalid.findings()));
            case TicketAnswer.Unavailable unavailable ->
                    Responses.problem(EntryReporter.ticketNotAccepted());
            case TicketAnswer.Unknown unknown ->
                    Responses.problem(EntryReporter.ticketOutcomeUnknown());
        };
    }

    private static ObjectNode body(ChangeTicket ticket, String outcome) {
        return Json.object().put("number", ticket.number()).put("outcome", outcome);
    }

    private static CompletionStage<HttpResponse> answer(ChangeTicket ticket, String outcome) {
        return CompletableFuture.completedFuture(Responses.json(200, body(ticket, outcome)));
    }

    private static CompletionStage<HttpResponse> invalid(List<Finding> findings) {
        return problem(EntryReporter.invalidTicket(findings));
    }

    private static CompletionStage<HttpResponse> problem(Refusal refusal) {
        return CompletableFuture.completedFuture(Responses.problem(refusal));
    }
}

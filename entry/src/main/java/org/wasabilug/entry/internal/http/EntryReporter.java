package org.wasabilug.entry.internal.http;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.wasabilug.error.ErrorCode;
import org.wasabilug.error.WasabilugException;
import org.wasabilug.model.Finding;
import org.wasabilug.model.Refusal;
import org.wasabilug.model.RunState;

/** Words every refusal that an entry instance makes outside of the core. */
public final class EntryReporter {
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    private EntryReporter() {}

    private static Refusal notRun(ErrorCode code, String message) {
        return new Refusal(code, message, RunState.NOT_RUN, Optional.empty());
    }

    /**
     * The credential is missing, malformed or wrong.
     *
     * @return the refusal
     */
    public static Refusal unauthenticated() {
        return notRun(
                ErrorCode.UNAUTHENTICATED,
                "The credential is missing or wrong. Send the header 'Authorization: Bearer"
                        + " <name>.<key>' with the key that belongs to the name.");
    }

    /**
     * The workspace may not use what it asked for.
     *
     * @param what kind and name of it
     * @return the refusal
     */
    public static Refusal forbidden(String what) {
        return notRun(
                ErrorCode.FORBIDDEN,
                "The workspace may not use the "
                        + what
                        + ". Ask an operator to add it to the workspace.");
    }

    /**
     * A ticket names another operator than the credential.
     *
     * @param named operator in the ticket
     * @return the refusal
     */
    public static Refusal ticketOfOtherOperator(String named) {
        return notRun(
                ErrorCode.FORBIDDEN,
                "The ticket names the operator '"
                        + named
                        + "', but the credential belongs to another one. Submit it under the name"
                        + " of its operator.");
    }

    /**
     * There is no such thing.
     *
     * @param what kind and name of it
     * @return the refusal
     */
    public static Refusal notFound(String what) {
        return notRun(
                ErrorCode.NOT_FOUND,
                "There is no " + what + " at this instance. Check its name and the path.");
    }

    /**
     * An earlier request is not known at this instance.
     *
     * @return the refusal
     */
    public static Refusal requestNotFound() {
        return new Refusal(
                ErrorCode.NOT_FOUND,
                "This instance remembers no request of the workspace under that idempotency key."
                        + " Another instance may have run it: send the same request with the same"
                        + " key again to learn its outcome.",
                RunState.OUTCOME_UNKNOWN,
                Optional.empty());
    }

    /**
     * The body is not what the path takes.
     *
     * @param findings each with its place
     * @return the refusal
     */
    public static Refusal invalidBody(List<Finding> findings) {
        return notRun(
                ErrorCode.INVALID_BODY,
                "The body has faults: " + joined(findings) + ". Correct them and send it again.");
    }

    /**
     * A ticket has findings.
     *
     * @param findings each with its place
     * @return the refusal
     */
    public static Refusal invalidTicket(List<Finding> findings) {
        return notRun(
                ErrorCode.INVALID_TICKET,
                "The ticket was not accepted: "
                        + joined(findings)
                        + ". Correct it and submit it again.");
    }

    private static String joined(List<Finding> findings) {
        return findings.stream().map(Finding::toString).collect(Collectors.joining("; "));
    }

    /**
     * The body exceeds the limit.
     *
     * @param limitBytes the limit
     * @return the refusal
     */
    public static Refusal bodyTooLarge(long limitBytes) {
        return notRun(
                ErrorCode.BODY_TOO_LARGE,
                "The body is larger than the "
                        + limitBytes
                        + " bytes that this instance takes. Send a shorter one.");
    }

    /**
     * The body did not arrive whole.
     *
     * @return the refusal
     */
    public static Refusal bodyIncomplete() {
        return notRun(
                ErrorCode.INVALID_BODY,
                "The body did not arrive whole in time. Send the request again.");
    }

    /**
     * The deadline is out of range.
     *
     * @param maximum longest deadline
     * @return the refusal
     */
    public static Refusal invalidDeadline(Duration maximum) {
        return notRun(
                ErrorCode.INVALID_DEADLINE,
                "The deadline must be from 1 to "
                        + maximum.toMillis()
                        + " milliseconds. Leave it out for the deadline of the pipeline.");
    }

    /**
     * The idempotency key was used with another body.
     *
     * @return the refusal
     */
    public static Refusal idempotencyConflict() {
        return new Refusal(
                ErrorCode.IDEMPOTENCY_CONFLICT,
                "The idempotency key belongs to an earlier request with another body. That body"
                        + " was not run. Use a new key for a new request.",
                RunState.OUTCOME_UNKNOWN,
                Optional.empty());
    }

    /**
     * The same request is in flight.
     *
     * @return the refusal
     */
    public static Refusal alreadyRunning() {
        return new Refusal(
                ErrorCode.ALREADY_RUNNING,
                "The same request is running at this instance. Wait for its answer, or send it"
                        + " again later with the same key.",
                RunState.OUTCOME_UNKNOWN,
                Optional.of(RETRY_DELAY));
    }

    /**
     * The caller left before the answer was complete.
     *
     * @return the refusal
     */
    public static Refusal callerLeft() {
        return new Refusal(
                ErrorCode.OUTCOME_UNKNOWN,
                "The caller's connection ended before the answer was complete. Send the same"
                        + " request with the same key again.",
                RunState.OUTCOME_UNKNOWN,
                Optional.empty());
    }

    /**
     * The answer does not fit into what the instance keeps for a caller.
     *
     * @return the refusal
     */
    public static Refusal answerTooLong() {
        return new Refusal(
                ErrorCode.STAGE_FAILED,
                "The answer is longer than this instance keeps for one caller. Ask for a streamed"
                        + " answer and read it without pauses.",
                RunState.RAN,
                Optional.empty());
    }

    /**
     * Too many requests are in flight.
     *
     * @return the refusal
     */
    public static Refusal tooManyRequests() {
        return new Refusal(
                ErrorCode.OVERLOADED,
                "This instance has as many requests in flight as it may. Send the request again.",
                RunState.NOT_RUN,
                Optional.of(RETRY_DELAY));
    }

    /**
     * The instance takes no new requests.
     *
     * @return the refusal
     */
    public static Refusal stopping() {
        return new Refusal(
                ErrorCode.STOPPING,
                "This instance is stopping and takes no new requests. Send the request again; the"
                        + " balancer picks another instance.",
                RunState.NOT_RUN,
                Optional.of(Duration.ZERO));
    }

    /**
     * A touched object carries a newer ticket.
     *
     * @param object the object
     * @param newerNumber number of the newer ticket
     * @return the refusal
     */
    public static Refusal superseded(String object, long newerNumber) {
        return notRun(
                ErrorCode.TICKET_SUPERSEDED,
                "Nothing was changed: "
                        + object
                        + " already carries ticket "
                        + newerNumber
                        + ". Look at its state now and submit a ticket with a higher number.");
    }

    /**
     * The number of a ticket was used before.
     *
     * @param number the number
     * @return the refusal
     */
    public static Refusal ticketConflict(long number) {
        return notRun(
                ErrorCode.TICKET_CONFLICT,
                "Nothing was changed: ticket "
                        + number
                        + " was accepted before with other content. Submit this one under a higher"
                        + " number.");
    }

    /**
     * The platform can't be reached; a ticket was not accepted.
     *
     * @return the refusal
     */
    public static Refusal ticketNotAccepted() {
        return new Refusal(
                ErrorCode.PLATFORM_UNAVAILABLE,
                "The ticket was not accepted: the platform's table service can't be reached from"
                        + " this instance. Submit it again, here or at another instance.",
                RunState.NOT_RUN,
                Optional.of(RETRY_DELAY));
    }

    /**
     * Whether a ticket was accepted can't be known now.
     *
     * @return the refusal
     */
    public static Refusal ticketOutcomeUnknown() {
        return new Refusal(
                ErrorCode.OUTCOME_UNKNOWN,
                "Whether the ticket was accepted can't be known now. Submit the same ticket again:"
                        + " it takes effect once.",
                RunState.OUTCOME_UNKNOWN,
                Optional.of(RETRY_DELAY));
    }

    /**
     * A defect of the system.
     *
     * @return the refusal
     */
    public static Refusal internalError() {
        return new Refusal(
                ErrorCode.INTERNAL,
                "The instance failed to answer, which is a defect. Please report it with the log"
                        + " lines around it.",
                RunState.OUTCOME_UNKNOWN,
                Optional.empty());
    }

    /**
     * A certificate is set without a file that belongs to it.
     *
     * @param flag name of the missing setting
     * @return the exception to throw
     */
    public static WasabilugException fileSettingMissing(String flag) {
        return new WasabilugException(
                ErrorCode.INVALID_SETTINGS,
                "A certificate is set without a file that belongs to it. Set --" + flag + " too.");
    }

    /**
     * Certificate or private key can't be used.
     *
     * @param certificate file of the certificate chain
     * @param privateKey file of the private key
     * @param cause what went wrong
     * @return the exception to throw
     */
    public static WasabilugException unreadableCertificate(
            Path certificate, Path privateKey, Exception cause) {
        return new WasabilugException(
                ErrorCode.INVALID_SETTINGS,
                "TLS can't be offered with "
                        + certificate
                        + " and "
                        + privateKey
                        + ". Give a PEM certificate chain and its PEM private key in PKCS#8.",
                cause);
    }

    /**
     * An address can't be listened at.
     *
     * @param address the address
     * @param cause what went wrong
     * @return the exception to throw
     */
    public static WasabilugException cannotListen(InetSocketAddress address, Throwable cause) {
        return new WasabilugException(
                ErrorCode.INVALID_SETTINGS,
                "The instance can't listen at "
                        + address
                        + ". Check that the address is its own and that the port is free.",
                cause);
    }
}

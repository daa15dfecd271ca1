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

/** Creates the refusals and exceptions of an entry instance that don't come from the core. */
public final class EntryReporter {
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    private EntryReporter() {}

    private static Refusal notRun(ErrorCode code, String message) {
        return new Refusal(code, message, RunState.NOT_RUN, Optional.empty());
    }

    /**
     * Refuses a request whose credential is missing, malformed or wrong.
     *
     * @return the refusal
     */
    public static Refusal unauthenticated() {
        return notRun(
                ErrorCode.UNAUTHENTICATED,
                "The credential is missing or invalid. Send the header 'Authorization: Bearer"
                        + " <name>.<key>' with the key of that name.");
    }

    /**
     * Refuses a target that the workspace may not use.
     *
     * @param what kind and name of the target
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
     * Refuses a ticket that names another operator than the credential.
     *
     * @param named operator named in the ticket
     * @return the refusal
     */
    public static Refusal ticketOfOtherOperator(String named) {
        return notRun(
                ErrorCode.FORBIDDEN,
                "The ticket names the operator '"
                        + named
                        + "', but the credential belongs to another operator. Submit the"
                        + " ticket with the credential of the operator that it names.");
    }

    /**
     * Refuses a path or object that does not exist.
     *
     * @param what kind and name
     * @return the refusal
     */
    public static Refusal notFound(String what) {
        return notRun(
                ErrorCode.NOT_FOUND,
                "This instance has no " + what + ". Check the name and the path.");
    }

    /**
     * Answers a query for an earlier request that this instance has no record of.
     *
     * @return the refusal
     */
    public static Refusal requestNotFound() {
        return new Refusal(
                ErrorCode.NOT_FOUND,
                "This instance has no record of a request of this workspace with that idempotency"
                        + " key. Another instance may have run it: resend the same request with the"
                        + " same key to get its outcome.",
                RunState.OUTCOME_UNKNOWN,
                Optional.empty());
    }

    /**
     * Refuses an invalid request body.
     *
     * @param findings every error, with its location
     * @return the refusal
     */
    public static Refusal invalidBody(List<Finding> findings) {
        return notRun(
                ErrorCode.INVALID_BODY,
                "The request body is invalid: "
                        + joined(findings)
                        + ". Correct it and resend the request.");
    }

    /**
     * Refuses an invalid ticket.
     *
     * @param findings every error, with its location
     * @return the refusal
     */
    public static Refusal invalidTicket(List<Finding> findings) {
        return notRun(
                ErrorCode.INVALID_TICKET,
                "The ticket is invalid: " + joined(findings) + ". Correct it and resubmit it.");
    }

    private static String joined(List<Finding> findings) {
        return findings.stream().map(Finding::toString).collect(Collectors.joining("; "));
    }

    /**
     * Refuses a body that exceeds the size limit.
     *
     * @param limitBytes the limit, in bytes
     * @return the refusal
     */
    public static Refusal bodyTooLarge(long limitBytes) {
        return notRun(
                ErrorCode.BODY_TOO_LARGE,
                "The request body exceeds the limit of "
                        + limitBytes
                        + " bytes of this instance. Send a shorter body.");
    }

    /**
     * Refuses a body that was not received completely in time.
     *
     * @return the refusal
     */
    public static Refusal bodyIncomplete() {
        return notRun(
                ErrorCode.INVALID_BODY,
                "The request body was not received completely in time. Resend the request.");
    }

    /**
     * Refuses a deadline that is out of range.
     *
     * @param maximum maximum deadline
     * @return the refusal
     */
    public static Refusal invalidDeadline(Duration maximum) {
        return notRun(
                ErrorCode.INVALID_DEADLINE,
                "The deadline must be from 1 to "
                        + maximum.toMillis()
                        + " milliseconds. Omit it to use the deadline of the pipeline.");
    }

    /**
     * Refuses an idempotency key that was used with another target or body.
     *
     * @return the refusal
     */
    public static Refusal idempotencyConflict() {
        return new Refusal(
                ErrorCode.IDEMPOTENCY_CONFLICT,
                "The idempotency key was already used for a request with another target or body."
                        + " The new body was not run. Use a new key for a new request.",
                RunState.OUTCOME_UNKNOWN,
                Optional.empty());
    }

    /**
     * Refuses a request that is already in flight.
     *
     * @return the refusal
     */
    public static Refusal alreadyRunning() {
        return new Refusal(
                ErrorCode.ALREADY_RUNNING,
                "The same request is already running at this instance. Wait for its answer, or"
                        + " resend it later with the same key.",
                RunState.OUTCOME_UNKNOWN,
                Optional.of(RETRY_DELAY));
    }

    /**
     * Ends a request whose caller disconnected before the answer was complete.
     *
     * @return the refusal
     */
    public static Refusal callerDisconnected() {
        return new Refusal(
                ErrorCode.OUTCOME_UNKNOWN,
                "The caller's connection closed before the answer was complete. Resend the same"
                        + " request with the same key.",
                RunState.OUTCOME_UNKNOWN,
                Optional.empty());
    }

    /**
     * Ends a request whose answer exceeds the limit of buffered text.
     *
     * @return the refusal
     */
    public static Refusal answerTooLong() {
        return new Refusal(
                ErrorCode.STAGE_FAILED,
                "The answer exceeds the limit of text that this instance buffers for one caller."
                        + " Request a streamed answer and read it without pauses.",
                RunState.RAN,
                Optional.empty());
    }

    /**
     * Refuses a request beyond the limit of requests in flight.
     *
     * @return the refusal
     */
    public static Refusal tooManyRequests() {
        return new Refusal(
                ErrorCode.OVERLOADED,
                "This instance has reached its limit of requests in flight. Resend the request.",
                RunState.NOT_RUN,
                Optional.of(RETRY_DELAY));
    }

    /**
     * Refuses a new request at a stopping instance.
     *
     * @return the refusal
     */
    public static Refusal stopping() {
        return new Refusal(
                ErrorCode.STOPPING,
                "This instance is stopping and accepts no new requests. Resend the request; the"
                        + " load balancer selects another instance.",
                RunState.NOT_RUN,
                Optional.of(Duration.ZERO));
    }

    /**
     * Refuses a ticket for an object that a newer ticket has already changed.
     *
     * @param object key of the object
     * @param newerNumber number of the newer ticket
     * @return the refusal
     */
    public static Refusal superseded(String object, long newerNumber) {
        return notRun(
                ErrorCode.TICKET_SUPERSEDED,
                "Nothing was changed: "
                        + object
                        + " was already changed by the newer ticket "
                        + newerNumber
                        + ". Check its current state and submit a ticket with a higher number.");
    }

    /**
     * Refuses a ticket whose number was already used for other content.
     *
     * @param number number of the ticket
     * @return the refusal
     */
    public static Refusal ticketConflict(long number) {
        return notRun(
                ErrorCode.TICKET_CONFLICT,
                "Nothing was changed: ticket "
                        + number
                        + " was already accepted with other content. Submit this ticket with a"
                        + " higher number.");
    }

    /**
     * Refuses a ticket because the platform is unreachable.
     *
     * @return the refusal
     */
    public static Refusal ticketNotAccepted() {
        return new Refusal(
                ErrorCode.PLATFORM_UNAVAILABLE,
                "The ticket was not accepted: this instance can't reach the platform's table"
                        + " service. Resubmit the ticket to this or another instance.",
                RunState.NOT_RUN,
                Optional.of(RETRY_DELAY));
    }

    /**
     * Reports that it is unknown whether a ticket was accepted.
     *
     * @return the refusal
     */
    public static Refusal ticketOutcomeUnknown() {
        return new Refusal(
                ErrorCode.OUTCOME_UNKNOWN,
                "It is unknown whether the ticket was accepted. Resubmit the same ticket; it takes"
                        + " effect only once.",
                RunState.OUTCOME_UNKNOWN,
                Optional.of(RETRY_DELAY));
    }

    /**
     * Reports an internal error.
     *
     * @return the refusal
     */
    public static Refusal internalError() {
        return new Refusal(
                ErrorCode.INTERNAL,
                "The instance failed to answer because of a defect. Please report it with the"
                        + " surrounding log lines.",
                RunState.OUTCOME_UNKNOWN,
                Optional.empty());
    }

    /**
     * Reports a certificate setting without another file that it needs.
     *
     * @param flag name of the missing setting
     * @return exception to throw
     */
    public static WasabilugException fileSettingMissing(String flag) {
        return new WasabilugException(
                ErrorCode.INVALID_SETTINGS,
                "A certificate is configured without a file that it requires. Set --"
                        + flag
                        + " too.");
    }

    /**
     * Reports a certificate or private key that can't be used.
     *
     * @param certificate file of the certificate chain
     * @param privateKey file of the private key
     * @param cause the underlying error
     * @return exception to throw
     */
    public static WasabilugException unreadableCertificate(
            Path certificate, Path privateKey, Exception cause) {
        return new WasabilugException(
                ErrorCode.INVALID_SETTINGS,
                "TLS can't be configured with the certificate "
                        + certificate
                        + " and the private key "
                        + privateKey
                        + ". Provide a PEM certificate chain and its PEM private key in PKCS#8.",
                cause);
    }

    /**
     * Reports an address that can't be bound.
     *
     * @param address the address
     * @param cause the underlying error
     * @return exception to throw
     */
    public static WasabilugException cannotListen(InetSocketAddress address, Throwable cause) {
        return new WasabilugException(
                ErrorCode.INVALID_SETTINGS,
                "The instance can't listen at "
                        + address
                        + ". Check that the address belongs to this host and that the port is"
                        + " free.",
                cause);
    }
}

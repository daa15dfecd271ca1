package org.wasabilug.entry.internal.caller;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.wasabilug.entry.EntryLimits;
import org.wasabilug.entry.internal.http.EntryReporter;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.model.CallerRequest;
import org.wasabilug.model.Finding;
import org.wasabilug.model.Pipeline;
import org.wasabilug.model.Refusal;
import org.wasabilug.model.Workspace;

/** Validates a submission and converts it into a request. */
final class SubmissionCheck {
    private static final Pattern IDEMPOTENCY_KEY = Pattern.compile("[\\x21-\\x7e]{1,200}");

    private final EntryLimits mLimits;
    private final RequestIds mIds = new RequestIds();

    SubmissionCheck(EntryLimits limits) {
        mLimits = limits;
    }

    /** Result of the validation. */
    sealed interface Outcome {}

    /**
     * The submission is valid.
     *
     * @param request request to submit
     */
    record Checked(CallerRequest request) implements Outcome {}

    /**
     * The submission is refused.
     *
     * @param refusal the reason
     */
    record Refused(Refusal refusal) implements Outcome {}

    Outcome check(
            HttpRequest httpRequest,
            CallTarget target,
            Workspace workspace,
            Configuration configuration,
            String text) {
        Optional<Pipeline> pipeline = target.resolve(configuration);
        if (pipeline.isEmpty()) {
            return new Refused(EntryReporter.notFound(target.description()));
        }
        if (!target.isAllowedFor(workspace)) {
            return new Refused(EntryReporter.forbidden(target.description()));
        }
        Optional<String> key = httpRequest.getHeader("Idempotency-Key").map(HttpHeader::value);
        if (key.isPresent() && !IDEMPOTENCY_KEY.matcher(key.get()).matches()) {
            return new Refused(EntryReporter.invalidBody(List.of(invalidKey())));
        }
        return switch (SubmissionReader.read(text)) {
            case SubmissionBody.Rejected rejected ->
                    new Refused(EntryReporter.invalidBody(rejected.findings()));
            case SubmissionBody.Parsed parsed ->
                    withDeadline(parsed.body(), pipeline.get(), workspace, key);
        };
    }

    private static Finding invalidKey() {
        return new Finding(
                "header Idempotency-Key",
                "must consist of 1 to 200 printable ASCII characters without spaces");
    }

    private Outcome withDeadline(
            SubmissionBody body, Pipeline pipeline, Workspace workspace, Optional<String> key) {
        long maximumMilliseconds = mLimits.maximumDeadline().toMillis();
        long milliseconds = body.deadlineMilliseconds().orElse(pipeline.deadline().toMillis());
        if (milliseconds < 1 || milliseconds > maximumMilliseconds) {
            return new Refused(EntryReporter.invalidDeadline(mLimits.maximumDeadline()));
        }
        return new Checked(
                new CallerRequest(
                        mIds.idOf(workspace.name(), key),
                        workspace.name(),
                        pipeline,
                        body.input(),
                        key,
                        Duration.ofMillis(milliseconds),
                        body.streamed()));
    }
}

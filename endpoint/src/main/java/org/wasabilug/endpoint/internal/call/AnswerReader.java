package org.wasabilug.endpoint.internal.call;

import java.util.List;
import java.util.Optional;
import org.apache.pekko.NotUsed;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.stream.javadsl.Flow;
import org.apache.pekko.stream.javadsl.Framing;
import org.apache.pekko.stream.javadsl.FramingTruncation;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.wasabilug.endpoint.wire.EndpointJson;
import org.wasabilug.endpoint.wire.EndpointPaths;
import org.wasabilug.endpoint.wire.StreamEvent;
import org.wasabilug.endpoint.wire.StreamEventJson;
import org.wasabilug.endpoint.wire.WholeAnswer;
import org.wasabilug.internal.event.FailureKind;
import org.wasabilug.model.CallProtocol;
import org.wasabilug.port.LoadReport;

/** Converts the HTTP answer of an endpoint into events of its result. */
final class AnswerReader {
    private static final ByteString LINE_END = ByteString.fromString("\n");
    private static final ByteString DATA_FIELD = ByteString.fromString("data:");
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int REQUEST_TIMEOUT = 408;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVER_ERROR = 500;
    private static final int UNAVAILABLE = 503;

    private final CallProtocol mProtocol;
    private final int mResumeOffset;
    private final CallLimits mLimits;

    AnswerReader(CallProtocol protocol, int resumeOffset, CallLimits limits) {
        mProtocol = protocol;
        mResumeOffset = resumeOffset;
        mLimits = limits;
    }

    /** Parses the load report in the header of an answer. */
    static Optional<LoadReport> loadReport(HttpResponse response) {
        return response.getHeader(EndpointPaths.LOAD_HEADER)
                .flatMap(header -> EndpointJson.read(header.value(), LoadReport.class));
    }

    /** Returns the events of a result. */
    Source<StreamEvent, NotUsed> read(HttpResponse response) {
        Source<ByteString, ?> bytes = response.entity().withoutSizeLimit().getDataBytes();
        return switch (mProtocol) {
            case STREAMED ->
                    bytes.via(events()).mapMaterializedValue(value -> NotUsed.getInstance());
            case WHOLE -> readWhole(response).mapMaterializedValue(value -> NotUsed.getInstance());
        };
    }

    private Flow<ByteString, StreamEvent, NotUsed> events() {
        return Flow.of(ByteString.class)
                .via(
                        Framing.delimiter(
                                LINE_END, mLimits.maximumEventBytes(), FramingTruncation.ALLOW))
                .filter(line -> line.take(DATA_FIELD.length()).equals(DATA_FIELD))
                .map(AnswerReader::event);
    }

    private static StreamEvent event(ByteString line) {
        return StreamEventJson.read(line.drop(DATA_FIELD.length()).toArray())
                .orElseThrow(
                        () ->
                                new InvalidAnswerException(
                                        FailureKind.CONNECTION_LOST,
                                        "the stream contained an invalid event"));
    }

    private Source<StreamEvent, ?> readWhole(HttpResponse response) {
        return response.entity()
                .withSizeLimit(mLimits.maximumBodyBytes())
                .getDataBytes()
                .fold(ByteString.emptyByteString(), ByteString::concat)
                .mapConcat(body -> wholeEvents(body.utf8String()));
    }

    private Iterable<StreamEvent> wholeEvents(String body) {
        String text =
                EndpointJson.read(body, WholeAnswer.class)
                        .map(WholeAnswer::text)
                        .orElseThrow(
                                () ->
                                        new InvalidAnswerException(
                                                FailureKind.FAILED,
                                                "the answer is not valid JSON"));
        int start = Math.min(mResumeOffset, text.length());
        return List.of(
                new StreamEvent.Chunk(start, text.substring(start)),
                new StreamEvent.Done(text.length()));
    }

    /** Returns whether an answer contains a result. */
    static boolean hasResult(HttpResponse response) {
        return response.status().intValue() == OK;
    }

    /** Returns the kind of failure that an answer without a result reports. */
    static FailureKind failureKind(HttpResponse response) {
        int status = response.status().intValue();
        boolean noCapacity = status == TOO_MANY_REQUESTS || status == UNAVAILABLE;
        if (noCapacity && response.getHeader(EndpointPaths.NOT_RUN_HEADER).isPresent()) {
            return FailureKind.OVERLOADED;
        }
        boolean invalidCall =
                status >= BAD_REQUEST
                        && status < SERVER_ERROR
                        && status != REQUEST_TIMEOUT
                        && !noCapacity;
        return invalidCall ? FailureKind.REJECTED : FailureKind.FAILED;
    }
}

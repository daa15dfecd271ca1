package org.wasabilug.gateway.internal.peer;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.UnknownFieldSet;
import com.google.protobuf.UnknownFieldSet.Field;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.util.HashSet;
import java.util.Set;
import org.wasabilug.internal.serving.CrashObservation;
import org.wasabilug.messages.gateway.CrashReport;
import org.wasabilug.messages.gateway.GatewayEnvelope;

/**
 * Converts crashes and acquittals to messages and back.
 *
 * <p>The generated code does not have all fields of these messages; the others are written under
 * the numbers and types that comments in gateway.proto give them.
 */
final class CrashMessages {
    private static final int FAILURE_DOMAIN = 3;
    private static final int SERVICE = 4;
    private static final int AGE_MILLISECONDS = 5;
    private static final int WORKSPACE = 6;
    private static final int PARTS = 7;

    private static final int ACQUITTAL = 12;
    private static final int ACQUITTED_FEATURES = 1;
    private static final int ANSWER_AGE_MILLISECONDS = 2;

    private CrashMessages() {}

    static CrashReport report(CrashObservation observation, long nowMillis) {
        UnknownFieldSet fields =
                UnknownFieldSet.newBuilder()
                        .addField(FAILURE_DOMAIN, text(observation.failureDomain()))
                        .addField(SERVICE, text(observation.service()))
                        .addField(AGE_MILLISECONDS, number(nowMillis - observation.crashedMillis()))
                        .addField(
                                WORKSPACE,
                                Field.newBuilder().addFixed64(observation.workspace()).build())
                        .addField(PARTS, packed(observation.parts()))
                        .build();
        return CrashReport.newBuilder()
                .setFingerprint(observation.content())
                .setEndpoint(observation.endpoint())
                .setUnknownFields(fields)
                .build();
    }

    /** Returns the crash of a report; one of an older sender has neither service nor parts. */
    static CrashObservation observation(CrashReport report, long nowMillis) {
        UnknownFieldSet fields = report.getUnknownFields();
        return new CrashObservation(
                report.getEndpoint(),
                text(fields, FAILURE_DOMAIN),
                text(fields, SERVICE),
                nowMillis - number(fields, AGE_MILLISECONDS),
                fields.getField(WORKSPACE).getFixed64List().stream().findFirst().orElse(0L),
                report.getFingerprint(),
                unpacked(fields, PARTS));
    }

    static GatewayEnvelope acquittal(
            GatewayEnvelope.Builder envelope, Set<Long> features, long answerAgeMillis) {
        ByteString body =
                UnknownFieldSet.newBuilder()
                        .addField(ACQUITTED_FEATURES, packed(features))
                        .addField(ANSWER_AGE_MILLISECONDS, number(answerAgeMillis))
                        .build()
                        .toByteString();
        Field field = Field.newBuilder().addLengthDelimited(body).build();
        return envelope.setUnknownFields(
                        UnknownFieldSet.newBuilder().addField(ACQUITTAL, field).build())
                .build();
    }

    /** Returns the acquitted features; empty if the message is no acquittal. */
    static Set<Long> acquitted(GatewayEnvelope envelope) {
        return unpacked(acquittal(envelope), ACQUITTED_FEATURES);
    }

    /** Returns how long ago, in milliseconds, the answer went on that led to an acquittal. */
    static long answerAgeMillis(GatewayEnvelope envelope) {
        return number(acquittal(envelope), ANSWER_AGE_MILLISECONDS);
    }

    private static UnknownFieldSet acquittal(GatewayEnvelope envelope) {
        ByteString body =
                envelope.getUnknownFields().getField(ACQUITTAL).getLengthDelimitedList().stream()
                        .findFirst()
                        .orElse(ByteString.EMPTY);
        try {
            return UnknownFieldSet.parseFrom(body);
        } catch (InvalidProtocolBufferException unreadable) {
            return UnknownFieldSet.getDefaultInstance();
        }
    }

    private static Field number(long value) {
        return Field.newBuilder().addVarint(value).build();
    }

    private static long number(UnknownFieldSet fields, int number) {
        return fields.getField(number).getVarintList().stream().findFirst().orElse(0L);
    }

    private static Field text(String value) {
        return Field.newBuilder().addLengthDelimited(ByteString.copyFromUtf8(value)).build();
    }

    private static String text(UnknownFieldSet fields, int number) {
        return fields.getField(number).getLengthDelimitedList().stream()
                .findFirst()
                .map(ByteString::toStringUtf8)
                .orElse("");
    }

    private static Field packed(Set<Long> values) {
        ByteBuffer bytes =
                ByteBuffer.allocate(values.size() * Long.BYTES).order(ByteOrder.LITTLE_ENDIAN);
        values.forEach(bytes::putLong);
        return Field.newBuilder().addLengthDelimited(ByteString.copyFrom(bytes.flip())).build();
    }

    private static Set<Long> unpacked(UnknownFieldSet fields, int number) {
        Set<Long> values = new HashSet<>();
        for (ByteString packed : fields.getField(number).getLengthDelimitedList()) {
            ByteBuffer bytes = packed.asReadOnlyByteBuffer().order(ByteOrder.LITTLE_ENDIAN);
            while (bytes.remaining() >= Long.BYTES) {
                values.add(bytes.getLong());
            }
        }
        return values;
    }
}

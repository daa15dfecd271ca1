package org.wasabilug.gateway.internal.peer;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import com.google.protobuf.Descriptors.Descriptor;
import com.google.protobuf.Descriptors.EnumValueDescriptor;
import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.Descriptors.FileDescriptor;
import com.google.protobuf.DynamicMessage;
import com.google.protobuf.Message;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.wasabilug.messages.gateway.Gateway;
import org.wasabilug.messages.gateway.GatewayEnvelope;
import org.wasabilug.messages.gateway.GatewayEnvelope.BodyCase;
import org.wasabilug.messages.gateway.GatewayHeartbeat;

/** The software of earlier commits can read the messages and rows of this one. */
class EarlierReadersTest {
    /** Everything that an earlier reader doesn't know is passed over. */
    @ParameterizedTest
    @ValueSource(strings = {"1361ac0", "6e665fd", "0f8de7d", "825d41a", "0b4bc6d"})
    void everyFieldThatAnEarlierReaderKnowsHasItsValue(String commit) throws Exception {
        FileDescriptor earlier = RecordedMessage.descriptors(commit);

        for (Message message : FilledMessages.all(Gateway.getDescriptor())) {
            Descriptor type =
                    earlier.findMessageTypeByName(message.getDescriptorForType().getName());
            if (type != null) {
                assertSame(DynamicMessage.parseFrom(type, message.toByteArray()), message);
            }
        }
    }

    /** The heartbeat that others pass on is a message in a message. */
    @ParameterizedTest
    @ValueSource(strings = {"6e665fd", "0f8de7d", "825d41a", "0b4bc6d"})
    void aHeartbeatThatOthersPassOnHasAllValuesThatAnEarlierReaderKnows(String commit)
            throws Exception {
        ByteString heartbeat =
                RecordedMessage.envelope("0b4bc6d", BodyCase.HEARTBEAT_EXCHANGE)
                        .getHeartbeatExchange()
                        .getStates(0)
                        .getHeartbeat();
        Descriptor earlier =
                RecordedMessage.descriptors(commit).findMessageTypeByName("GatewayHeartbeat");

        assertSame(
                DynamicMessage.parseFrom(earlier, heartbeat),
                GatewayHeartbeat.parseFrom(heartbeat));
    }

    /** Messages for all reach some instances only by way of those with earlier software. */
    @ParameterizedTest
    @ValueSource(strings = {"6e665fd", "0f8de7d", "825d41a", "0b4bc6d"})
    void aMessageForAllIsPassedOnWholeByAnEarlierReader(String commit) throws Exception {
        Descriptor earlier =
                RecordedMessage.descriptors(commit).findMessageTypeByName("GatewayEnvelope");
        GatewayEnvelope broadcast =
                RecordedMessage.envelope("0b4bc6d", BodyCase.ENDPOINT_LEAVE).toBuilder()
                        .setBroadcast(7)
                        .build();

        DynamicMessage passedOn = DynamicMessage.parseFrom(earlier, broadcast.toByteArray());

        assertThat(passedOn.getField(earlier.findFieldByName("broadcast"))).isEqualTo(7L);
        assertThat(GatewayEnvelope.parseFrom(passedOn.toByteArray())).isEqualTo(broadcast);
    }

    private static void assertSame(Message read, Message written) {
        Descriptor type = read.getDescriptorForType();
        Map<String, Object> known = new TreeMap<>();
        written.getAllFields()
                .forEach(
                        (field, value) -> {
                            if (type.findFieldByName(field.getName()) != null) {
                                known.put(field.getName(), value);
                            }
                        });

        assertThat(read.getAllFields().keySet())
                .extracting(FieldDescriptor::getName)
                .containsExactlyInAnyOrderElementsOf(known.keySet());
        for (Map.Entry<FieldDescriptor, Object> field : read.getAllFields().entrySet()) {
            assertSameValue(field.getValue(), known.get(field.getKey().getName()));
        }
    }

    private static void assertSameValue(Object read, Object written) {
        switch (read) {
            case Message message -> assertSame(message, (Message) written);
            case EnumValueDescriptor value ->
                    assertThat(value.getNumber())
                            .isEqualTo(((EnumValueDescriptor) written).getNumber());
            case List<?> values -> {
                assertThat(values).hasSameSizeAs((List<?>) written);
                for (int index = 0; index < values.size(); index++) {
                    assertSameValue(values.get(index), ((List<?>) written).get(index));
                }
            }
            default -> assertThat(read).isEqualTo(written);
        }
    }
}

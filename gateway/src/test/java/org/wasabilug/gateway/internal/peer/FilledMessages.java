package org.wasabilug.gateway.internal.peer;

import com.google.protobuf.ByteString;
import com.google.protobuf.Descriptors.Descriptor;
import com.google.protobuf.Descriptors.EnumValueDescriptor;
import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.Descriptors.FileDescriptor;
import com.google.protobuf.DynamicMessage;
import com.google.protobuf.Message;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Messages and rows of each kind that a version of the software knows, with all fields filled. */
final class FilledMessages {
    private static final Map<String, String> TEXTS =
            Map.ofEntries(
                    Map.entry("address", "127.0.0.1:9000"),
                    Map.entry("attempt", "attempt-1"),
                    Map.entry("domain", "rennes"),
                    Map.entry("endpoint", "ledger-0"),
                    Map.entry("failure", "NO_ROOM"),
                    Map.entry("failure_domain", "rennes"),
                    Map.entry("heard", "gateway-1"),
                    Map.entry("host", "127.0.0.3"),
                    Map.entry("instance", "gateway-3"),
                    Map.entry("recent_versions", "v1"),
                    Map.entry("request", "request-1"),
                    Map.entry("sender", "gateway-2"),
                    Map.entry("service", "ledger"),
                    Map.entry("services", "ledger"),
                    Map.entry("software_version", "v1"),
                    Map.entry("table", "servers"));

    /** The messages that stand in no envelope, and the rows of the store. */
    private static final List<String> OTHERS =
            List.of("RelayRequest", "RelayReply", "SoftwareVersionRow");

    private static final int ENUM_VALUE = 3;

    private FilledMessages() {}

    /** Returns a message of each kind that a file of descriptors has. */
    static List<Message> all(FileDescriptor file) {
        List<Message> all = new ArrayList<>();
        Descriptor envelope = file.findMessageTypeByName("GatewayEnvelope");
        for (FieldDescriptor body : envelope.getOneofs().getFirst().getFields()) {
            all.add(envelope(envelope, body).build());
        }
        FieldDescriptor broadcast = envelope.findFieldByName("broadcast");
        if (broadcast != null) {
            DynamicMessage.Builder passedOn =
                    envelope(envelope, envelope.findFieldByName("crash_acquittal"));
            set(passedOn, broadcast);
            all.add(passedOn.build());
        }
        for (String name : OTHERS) {
            Descriptor type = file.findMessageTypeByName(name);
            if (type != null) {
                all.add(filled(DynamicMessage.newBuilder(type)));
            }
        }
        return all;
    }

    private static DynamicMessage.Builder envelope(Descriptor envelope, FieldDescriptor body) {
        DynamicMessage.Builder builder = DynamicMessage.newBuilder(envelope);
        set(builder, envelope.findFieldByName("sender"));
        set(builder, body);
        return builder;
    }

    private static Message filled(Message.Builder builder) {
        builder.getDescriptorForType().getFields().forEach(field -> set(builder, field));
        return builder.build();
    }

    private static void set(Message.Builder builder, FieldDescriptor field) {
        if (field.getName().equals("results")) {
            builder.addRepeatedField(field, without("failure", builder, field));
            builder.addRepeatedField(field, without("handle", builder, field));
        } else if (field.isRepeated()) {
            builder.addRepeatedField(field, value(builder, field));
        } else {
            builder.setField(field, value(builder, field));
        }
    }

    /** A piece has either a result or a reason why there is none. */
    private static Message without(String name, Message.Builder builder, FieldDescriptor field) {
        Message.Builder result = ((Message) value(builder, field)).toBuilder();
        return result.clearField(result.getDescriptorForType().findFieldByName(name)).build();
    }

    private static Object value(Message.Builder builder, FieldDescriptor field) {
        int number = field.getNumber();
        return switch (field.getJavaType()) {
            case STRING -> TEXTS.getOrDefault(field.getName(), field.getName());
            case BOOLEAN -> true;
            case INT -> number;
            case LONG -> field.getName().endsWith("milliseconds") ? 1_000L * number : number;
            case DOUBLE -> number + 0.5;
            case FLOAT -> number + 0.5f;
            case ENUM -> enumValue(field);
            case BYTE_STRING -> bytes(field);
            case MESSAGE -> filled(builder.newBuilderForField(field));
        };
    }

    /** The same value as in the recorded messages, or the last one of a shorter enumeration. */
    private static EnumValueDescriptor enumValue(FieldDescriptor field) {
        List<EnumValueDescriptor> values = field.getEnumType().getValues();
        return values.stream()
                .filter(value -> value.getNumber() == ENUM_VALUE)
                .findFirst()
                .orElse(values.getLast());
    }

    private static ByteString bytes(FieldDescriptor field) {
        if (!field.getName().equals("heartbeat")) {
            return ByteString.copyFromUtf8("{}");
        }
        Descriptor heartbeat = field.getFile().findMessageTypeByName("GatewayHeartbeat");
        return filled(DynamicMessage.newBuilder(heartbeat)).toByteString();
    }
}

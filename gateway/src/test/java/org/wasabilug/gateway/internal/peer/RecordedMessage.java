package org.wasabilug.gateway.internal.peer;

import com.google.protobuf.DescriptorProtos.FileDescriptorProto;
import com.google.protobuf.Descriptors.FileDescriptor;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import org.wasabilug.messages.gateway.GatewayEnvelope;

/**
 * A message as the software of an earlier commit writes it.
 *
 * @param type name of the message's type
 * @param bytes the encoded message
 * @param text the message in the text format of the classes that wrote it
 */
record RecordedMessage(String type, byte[] bytes, String text) {
    private static final String DESCRIPTORS = "FileDescriptorProto";

    /** Returns the messages of a commit. */
    static List<RecordedMessage> of(String commit) throws Exception {
        return lines(commit).stream().filter(line -> !line.type().equals(DESCRIPTORS)).toList();
    }

    /** Returns the message of a commit that has a body. */
    static GatewayEnvelope envelope(String commit, GatewayEnvelope.BodyCase body) throws Exception {
        for (RecordedMessage message : of(commit)) {
            if (message.type().equals("GatewayEnvelope")) {
                GatewayEnvelope envelope = GatewayEnvelope.parseFrom(message.bytes());
                if (envelope.getBodyCase() == body) {
                    return envelope;
                }
            }
        }
        throw new IllegalArgumentException("No " + body + " is recorded of " + commit + ".");
    }

    /** Returns the descriptors of a commit's messages. */
    static FileDescriptor descriptors(String commit) throws Exception {
        byte[] descriptors =
                lines(commit).stream()
                        .filter(line -> line.type().equals(DESCRIPTORS))
                        .findFirst()
                        .orElseThrow()
                        .bytes();
        return FileDescriptor.buildFrom(
                FileDescriptorProto.parseFrom(descriptors), new FileDescriptor[0]);
    }

    private static List<RecordedMessage> lines(String commit) throws Exception {
        String name = "/landings/" + commit + ".txt";
        try (InputStream file = RecordedMessage.class.getResourceAsStream(name)) {
            return new String(file.readAllBytes(), StandardCharsets.UTF_8)
                    .lines()
                    .map(RecordedMessage::parse)
                    .toList();
        }
    }

    private static RecordedMessage parse(String line) {
        String[] parts = line.split("\t", 3);
        return new RecordedMessage(parts[0], Base64.getDecoder().decode(parts[1]), parts[2]);
    }
}

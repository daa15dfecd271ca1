package org.wasabilug.gateway.internal.peer;

import com.google.protobuf.Descriptors.FileDescriptor;
import com.google.protobuf.Message;
import com.google.protobuf.TextFormat;
import java.util.Base64;
import org.wasabilug.messages.gateway.Gateway;

/**
 * Prints what the message classes on the class path write, one message a line, for the test
 * resource {@code landings/COMMIT.txt}.
 *
 * <p>To be run by hand with the message classes of that commit. A line holds type, bytes in base64
 * and text; the last one holds the descriptors.
 */
public final class MessageRecorder {
    private MessageRecorder() {}

    /** Prints the lines. */
    public static void main(String[] arguments) {
        FileDescriptor file = Gateway.getDescriptor();
        FilledMessages.all(file).forEach(MessageRecorder::print);
        System.out.println(line("FileDescriptorProto", file.toProto(), ""));
    }

    private static void print(Message message) {
        String text = TextFormat.printer().emittingSingleLine(true).printToString(message);
        System.out.println(line(message.getDescriptorForType().getName(), message, text));
    }

    private static String line(String type, Message message, String text) {
        String bytes = Base64.getEncoder().encodeToString(message.toByteArray());
        return String.join("\t", type, bytes, text.trim());
    }
}

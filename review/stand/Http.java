import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** The part of HTTP/1.1 that the stand-ins speak. */
final class Http {
    /** A request or a response; the target of a response is its status. */
    record Message(String method, String target, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }
    }

    private Http() {}

    /** Reads one message; returns null if the connection ends before it. */
    static Message read(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        String[] words = first.split(" ", 3);
        Map<String, String> headers = new HashMap<>();
        String header;
        while ((header = line(in)) != null && !header.isEmpty()) {
            int colon = header.indexOf(':');
            headers.put(
                    header.substring(0, colon).toLowerCase(Locale.ROOT),
                    header.substring(colon + 1).trim());
        }
        if (header == null) {
            throw new IOException("the head is cut");
        }
        return new Message(words[0], words[1], headers, body(in, headers));
    }

    private static byte[] body(InputStream in, Map<String, String> headers) throws IOException {
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = line(in);
                if (size == null) {
                    throw new IOException("the chunks are cut");
                }
                int length = Integer.parseInt(size.trim(), 16);
                body.write(exactly(in, length));
                line(in);
                if (length == 0) {
                    return body.toByteArray();
                }
            }
        }
        return exactly(in, Integer.parseInt(headers.getOrDefault("content-length", "0")));
    }

    private static byte[] exactly(InputStream in, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        if (bytes.length < length) {
            throw new IOException("the body is cut");
        }
        return bytes;
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int each;
        while ((each = in.read()) >= 0) {
            if (each == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(each);
        }
        return null;
    }

    /** Writes a message with a length; the head has no line end after its last header. */
    static void write(OutputStream out, String head, byte[] body) throws IOException {
        ByteArrayOutputStream whole = new ByteArrayOutputStream();
        whole.write((head + "\r\nContent-Length: " + body.length + "\r\n\r\n").getBytes());
        whole.write(body);
        out.write(whole.toByteArray());
        out.flush();
    }

    static Map<String, String> query(String target) {
        Map<String, String> query = new HashMap<>();
        int mark = target.indexOf('?');
        if (mark < 0) {
            return query;
        }
        for (String part : target.substring(mark + 1).split("&")) {
            int equals = part.indexOf('=');
            query.put(
                    part.substring(0, equals),
                    URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return query;
    }
}

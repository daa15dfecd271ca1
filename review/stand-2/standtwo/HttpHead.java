package standtwo;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** First line and headers of a request or response. */
record HttpHead(String firstLine, Map<String, String> headers) {
    /** Reads a head; returns null at the end of the channel. */
    static HttpHead read(InputStream input) throws IOException {
        String first = line(input);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        String line = line(input);
        while (line != null && !line.isEmpty()) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
            line = line(input);
        }
        return line == null ? null : new HttpHead(first, headers);
    }

    /** Reads a line; returns null if the channel ends before its end. */
    static String line(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = input.read(); next >= 0; next = input.read()) {
            if (next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(next);
        }
        return null;
    }

    String target() {
        return firstLine.split(" ")[1];
    }

    int status() {
        return Integer.parseInt(firstLine.split(" ")[1]);
    }

    String header(String name) {
        return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
    }

    int length() {
        String length = header("Content-Length");
        return length.isEmpty() ? 0 : Integer.parseInt(length);
    }
}

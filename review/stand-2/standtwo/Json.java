package standtwo;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parser of the JSON that the gateway sends to the store. */
final class Json {
    private final String mText;
    private int mPosition;

    private Json(String text) {
        mText = text;
    }

    static Object parse(String text) {
        return new Json(text).value();
    }

    /** Returns the text as a JSON string. */
    static String quote(String text) {
        return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(Object value) {
        return (Map<String, Object>) value;
    }

    @SuppressWarnings("unchecked")
    static List<Object> list(Object value) {
        return value == null ? List.of() : (List<Object>) value;
    }

    private char next() {
        while (Character.isWhitespace(mText.charAt(mPosition))) {
            mPosition++;
        }
        return mText.charAt(mPosition);
    }

    private Object value() {
        return switch (next()) {
            case '{' -> members();
            case '[' -> elements();
            case '"' -> string();
            default -> literal();
        };
    }

    private Map<String, Object> members() {
        Map<String, Object> members = new LinkedHashMap<>();
        mPosition++;
        while (next() != '}') {
            String name = string();
            next();
            mPosition++;
            members.put(name, value());
            skipComma();
        }
        mPosition++;
        return members;
    }

    private List<Object> elements() {
        List<Object> elements = new ArrayList<>();
        mPosition++;
        while (next() != ']') {
            elements.add(value());
            skipComma();
        }
        mPosition++;
        return elements;
    }

    private void skipComma() {
        if (next() == ',') {
            mPosition++;
        }
    }

    private String string() {
        StringBuilder text = new StringBuilder();
        next();
        mPosition++;
        while (mText.charAt(mPosition) != '"') {
            char each = mText.charAt(mPosition++);
            if (each == '\\') {
                each = mText.charAt(mPosition++);
                if (each == 'u') {
                    text.append((char) Integer.parseInt(mText, mPosition, mPosition + 4, 16));
                    mPosition += 4;
                    continue;
                }
                each = each == 'n' ? '\n' : each == 't' ? '\t' : each == 'r' ? '\r' : each;
            }
            text.append(each);
        }
        mPosition++;
        return text.toString();
    }

    private Object literal() {
        int start = mPosition;
        while (mPosition < mText.length() && ",]} \n".indexOf(mText.charAt(mPosition)) < 0) {
            mPosition++;
        }
        String text = mText.substring(start, mPosition);
        return switch (text) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> "";
            default -> (long) Double.parseDouble(text);
        };
    }
}

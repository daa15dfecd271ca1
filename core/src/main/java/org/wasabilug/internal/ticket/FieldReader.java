package org.wasabilug.internal.ticket;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.wasabilug.model.Finding;
import org.wasabilug.model.NameRules;

/** Reads the fields of one JSON object and adds a finding for each invalid one. */
final class FieldReader {
    private static final String NAME_RULE =
            "must be 1 to 100 letters, digits, dots, underscores or hyphens";

    private final JsonNode mNode;
    private final String mPlace;
    private final List<Finding> mFindings;
    private final Set<String> mReadFields = new HashSet<>();

    FieldReader(JsonNode node, String place, List<Finding> findings) {
        mNode = node;
        mPlace = place;
        mFindings = findings;
        if (!node.isObject()) {
            report(place.isEmpty() ? "ticket" : place, "must be a JSON object");
        }
    }

    static String textOf(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    void report(String place, String problem) {
        mFindings.add(new Finding(place, problem));
    }

    String placeOf(String field) {
        return mPlace.isEmpty() ? field : mPlace + "." + field;
    }

    boolean has(String field) {
        return mNode.has(field);
    }

    JsonNode node(String field) {
        mReadFields.add(field);
        return mNode.path(field);
    }

    Optional<String> text(String field) {
        return typed(field, JsonNode::isTextual, JsonNode::textValue, "must be a string");
    }

    Optional<Boolean> bool(String field) {
        return typed(field, JsonNode::isBoolean, JsonNode::booleanValue, "must be true or false");
    }

    Optional<Integer> integer(String field) {
        return typed(
                field,
                node -> node.isIntegralNumber() && node.canConvertToInt(),
                JsonNode::intValue,
                "must be an integer of at most 2147483647");
    }

    Optional<Long> longInteger(String field) {
        return typed(
                field,
                node -> node.isIntegralNumber() && node.canConvertToLong(),
                JsonNode::longValue,
                "must be an integer");
    }

    Optional<Double> decimal(String field) {
        return typed(field, JsonNode::isNumber, JsonNode::doubleValue, "must be a number");
    }

    <T> Optional<T> name(String field, Function<String, T> constructor) {
        return named(node(field), placeOf(field), constructor);
    }

    <T> List<T> names(String field, Function<String, T> constructor) {
        return list(field, (node, place) -> named(node, place, constructor));
    }

    <T extends Enum<T>> Optional<T> constant(String field, Class<T> type) {
        T[] constants = type.getEnumConstants();
        Optional<String> text = text(field);
        if (text.isEmpty()) {
            return Optional.empty();
        }
        Optional<T> found =
                Arrays.stream(constants).filter(each -> textOf(each).equals(text.get())).findAny();
        if (found.isEmpty()) {
            report(placeOf(field), "must be one of " + allowed(constants));
        }
        return found;
    }

    <T> List<T> list(String field, ElementReader<T> reader) {
        JsonNode array = node(field);
        List<T> values = new ArrayList<>();
        if (!array.isArray()) {
            reportWrongType(array, placeOf(field), "must be an array");
            return values;
        }
        for (int index = 0; index < array.size(); index++) {
            String place = placeOf(field) + "[" + index + "]";
            reader.read(array.get(index), place).ifPresent(values::add);
        }
        return values;
    }

    FieldReader object(String field) {
        return new FieldReader(node(field), placeOf(field), mFindings);
    }

    FieldReader element(JsonNode node, String place) {
        return new FieldReader(node, place, mFindings);
    }

    /** Reports every field that has not been read as unknown. */
    void reportUnknownFields() {
        mNode.fieldNames()
                .forEachRemaining(
                        field -> {
                            if (!mReadFields.contains(field)) {
                                report(placeOf(field), "is an unknown field");
                            }
                        });
    }

    private <T> Optional<T> typed(
            String field, Predicate<JsonNode> test, Function<JsonNode, T> value, String problem) {
        JsonNode node = node(field);
        if (test.test(node)) {
            return Optional.of(value.apply(node));
        }
        reportWrongType(node, placeOf(field), problem);
        return Optional.empty();
    }

    private <T> Optional<T> named(JsonNode node, String place, Function<String, T> constructor) {
        if (node.isTextual() && NameRules.isValid(node.textValue())) {
            return Optional.of(constructor.apply(node.textValue()));
        }
        reportWrongType(node, place, NAME_RULE);
        return Optional.empty();
    }

    private void reportWrongType(JsonNode node, String place, String problem) {
        if (mNode.isObject()) {
            report(place, node instanceof MissingNode ? "is missing" : problem);
        }
    }

    private static <T extends Enum<T>> String allowed(T[] constants) {
        return Arrays.stream(constants).map(FieldReader::textOf).collect(Collectors.joining(", "));
    }

    /** Reads one element of a JSON array. */
    interface ElementReader<T> {
        Optional<T> read(JsonNode node, String place);
    }
}

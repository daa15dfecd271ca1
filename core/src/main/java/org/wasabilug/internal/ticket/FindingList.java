package org.wasabilug.internal.ticket;

import java.util.ArrayList;
import java.util.List;
import org.wasabilug.model.Finding;
import org.wasabilug.model.ObjectKey;

/** Collects findings and formats the messages that several checks share. */
final class FindingList {
    private final List<Finding> mFindings = new ArrayList<>();

    void add(String place, String problem) {
        mFindings.add(new Finding(place, problem));
    }

    void range(String place, double value, double minimum, double maximum) {
        if (!(value >= minimum && value <= maximum)) {
            add(place, "must be from " + number(minimum) + " to " + number(maximum));
        }
    }

    void text(String place, String value) {
        if (value.isBlank() || value.length() > TicketLimits.MAXIMUM_TEXT_LENGTH) {
            add(place, "must have 1 to " + TicketLimits.MAXIMUM_TEXT_LENGTH + " characters");
        }
    }

    void missing(String place, ObjectKey key) {
        add(
                place,
                "refers to the "
                        + FieldReader.textOf(key.kind())
                        + " '"
                        + key.name()
                        + "', which is not configured; add it in the same or an earlier ticket");
    }

    List<Finding> all() {
        return List.copyOf(mFindings);
    }

    private static String number(double value) {
        return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
    }
}

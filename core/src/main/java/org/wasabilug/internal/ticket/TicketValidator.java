package org.wasabilug.internal.ticket;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wasabilug.internal.configuration.Configuration;
import org.wasabilug.model.ChangeTicket;
import org.wasabilug.model.ConfigurationObject;
import org.wasabilug.model.Finding;
import org.wasabilug.model.ObjectChange;
import org.wasabilug.model.ObjectKey;
import org.wasabilug.model.ObjectKind;
import org.wasabilug.model.Pool;
import org.wasabilug.port.VersionedObject;

/** Validates a ticket against the configuration that it would change. */
public final class TicketValidator {
    private final Configuration mBefore;
    private final ChangeTicket mTicket;
    private final Map<ObjectKey, ObjectChange> mChanges = new HashMap<>();
    private final FindingList mFindings = new FindingList();

    private TicketValidator(ChangeTicket ticket, Configuration before) {
        mTicket = ticket;
        mBefore = before;
        ticket.changes().forEach(change -> mChanges.put(change.key(), change));
    }

    /**
     * Validates a ticket.
     *
     * @param ticket the ticket
     * @param before configuration before the ticket is applied
     * @return all findings with their places; empty if the ticket may be accepted
     */
    public static List<Finding> check(ChangeTicket ticket, Configuration before) {
        TicketValidator validator = new TicketValidator(ticket, before);
        validator.checkTicket();
        for (int index = 0; index < ticket.changes().size(); index++) {
            validator.checkChange(ticket.changes().get(index), "changes[" + index + "]");
        }
        validator.checkRemovals();
        return validator.mFindings.all();
    }

    private void checkTicket() {
        if (mTicket.number() < 1) {
            mFindings.add("number", "must be 1 or more");
        }
        int count = mTicket.changes().size();
        if (count < 1 || count > TicketLimits.MAXIMUM_CHANGES) {
            mFindings.add("changes", "must have 1 to " + TicketLimits.MAXIMUM_CHANGES + " changes");
        }
        if (mChanges.size() < count) {
            mFindings.add("changes", "must not change the same object twice");
        }
    }

    private void checkChange(ObjectChange change, String place) {
        if (change.state().isEmpty()) {
            if (before(change.key()).isEmpty()) {
                mFindings.add(place, "removes an object that is not configured");
            }
            return;
        }
        ConfigurationObject state = change.state().get();
        String statePlace = place + ".state";
        StateRules.check(state, statePlace, mFindings);
        for (References.Reference reference : References.of(state)) {
            String field = reference.field();
            checkReference(reference, field.isEmpty() ? place + ".name" : statePlace + "." + field);
        }
    }

    private void checkReference(References.Reference reference, String place) {
        Optional<ConfigurationObject> target = after(reference.target());
        if (target.isEmpty()) {
            mFindings.missing(place, reference.target());
        } else if (reference.field().equals("services")
                && target.get() instanceof Pool pool
                && !pool.exposed()) {
            mFindings.add(place, "refers to the pool '" + pool.name() + "', which is not exposed");
        }
    }

    private Optional<ConfigurationObject> before(ObjectKey key) {
        return mBefore.object(key).flatMap(VersionedObject::state);
    }

    private Optional<ConfigurationObject> after(ObjectKey key) {
        ObjectChange change = mChanges.get(key);
        return change == null ? before(key) : change.state();
    }

    private void checkRemovals() {
        Map<ObjectKey, String> removed = new HashMap<>();
        for (int index = 0; index < mTicket.changes().size(); index++) {
            ObjectChange change = mTicket.changes().get(index);
            if (change.state().isEmpty() && canBeReferenced(change.key())) {
                removed.put(change.key(), "changes[" + index + "]");
            }
        }
        if (!removed.isEmpty()) {
            mBefore.objects().stream()
                    .filter(object -> !mChanges.containsKey(object.key()))
                    .forEach(object -> checkNotReferenced(object, removed));
        }
    }

    private static boolean canBeReferenced(ObjectKey key) {
        return key.kind() != ObjectKind.WORKSPACE
                && key.kind() != ObjectKind.OPERATOR
                && key.kind() != ObjectKind.ENGINE_TARGET;
    }

    private void checkNotReferenced(VersionedObject object, Map<ObjectKey, String> removed) {
        object.state().stream()
                .flatMap(state -> References.of(state).stream())
                .map(References.Reference::target)
                .distinct()
                .filter(removed::containsKey)
                .forEach(
                        target ->
                                mFindings.add(
                                        removed.get(target),
                                        "removes an object that "
                                                + FieldReader.textOf(object.key().kind())
                                                + " '"
                                                + object.key().name()
                                                + "' still refers to"));
    }
}

package org.wasabilug.internal.ticket;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.wasabilug.model.ChangeTicket;
import org.wasabilug.port.Row;
import org.wasabilug.port.RowCondition;
import org.wasabilug.port.RowKey;
import org.wasabilug.port.RowWrite;
import org.wasabilug.port.TableRead;
import org.wasabilug.port.TableTransaction;
import org.wasabilug.port.VersionedObject;

/** Builds the table read and the transaction for accepting one ticket. */
final class TicketTransaction {
    private final ChangeTicket mTicket;
    private final String mDigest;

    TicketTransaction(ChangeTicket ticket) {
        mTicket = ticket;
        mDigest = TicketCodec.digest(ticket);
    }

    RowKey ticketRow() {
        return TicketRows.ticket(mTicket.number());
    }

    boolean hasSameDigest(TicketRows.AcceptedTicket accepted) {
        return accepted.digest().equals(mDigest);
    }

    TableRead read() {
        List<RowKey> keys = new ArrayList<>();
        keys.add(ticketRow());
        keys.add(TicketRows.HEAD);
        mTicket.changes().forEach(change -> keys.add(TicketRows.object(change.key())));
        return new TableRead.Points(keys);
    }

    /**
     * Returns the changed object whose stored ticket number is highest, if it is not below this
     * ticket's.
     */
    Optional<VersionedObject> superseding(Map<RowKey, Row> rows) {
        return mTicket.changes().stream()
                .map(change -> rows.get(TicketRows.object(change.key())))
                .filter(row -> row != null)
                .flatMap(row -> TicketCodec.readVersioned(row.value()).stream())
                .filter(object -> object.ticketNumber() >= mTicket.number())
                .max((left, right) -> Long.compare(left.ticketNumber(), right.ticketNumber()));
    }

    TableTransaction commit(Map<RowKey, Row> rows, long sequence) {
        List<RowCondition> conditions = new ArrayList<>();
        List<RowWrite> writes = new ArrayList<>();
        conditions.add(new RowCondition.Absent(ticketRow()));
        conditions.add(unchanged(TicketRows.HEAD, rows));
        TicketRows.AcceptedTicket accepted = new TicketRows.AcceptedTicket(mDigest, sequence);
        writes.add(new RowWrite.Put(ticketRow(), TicketRows.acceptedValue(accepted)));
        writes.add(new RowWrite.Put(TicketRows.HEAD, TicketRows.sequenceValue(sequence)));
        writes.add(new RowWrite.Put(TicketRows.feed(sequence), TicketCodec.write(mTicket)));
        for (VersionedObject object : TicketCodec.objectsOf(mTicket)) {
            RowKey key = TicketRows.object(object.key());
            conditions.add(unchanged(key, rows));
            writes.add(new RowWrite.Put(key, TicketCodec.writeVersioned(object)));
        }
        return new TableTransaction(conditions, writes);
    }

    private static RowCondition unchanged(RowKey key, Map<RowKey, Row> rows) {
        Row row = rows.get(key);
        return row == null
                ? new RowCondition.Absent(key)
                : new RowCondition.VersionIs(key, row.version());
    }
}

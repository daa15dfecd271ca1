package org.wasabilug.gateway.internal.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.wasabilug.gateway.internal.GatewayState;
import org.wasabilug.gateway.internal.log.LogLine;
import org.wasabilug.internal.serving.SoftwareVersions;

/** Adds the recorded software versions to those that this instance has seen, when needed. */
public final class SoftwareVersionHistory {
    private final GatewayState mState;
    private final SoftwareVersionTable mTable;
    private final List<Runnable> mWaiting = new ArrayList<>();

    /**
     * Creates a history that was not read yet.
     *
     * @param state state of this process
     * @param table the table with the records
     */
    public SoftwareVersionHistory(GatewayState state, SoftwareVersionTable table) {
        mState = state;
        mTable = table;
    }

    /**
     * Reads the records unless all versions of late are known already.
     *
     * @param done called once afterwards, also if the records could not be read; possibly before
     *     this method returns
     */
    public void complete(Runnable done) {
        if (mState.softwareVersions().complete(mState.nowMillis())) {
            done.run();
            return;
        }
        mWaiting.add(done);
        if (mWaiting.size() == 1) {
            mTable.read(this::read);
        }
    }

    private void read(Optional<SoftwareVersionTable.Contents> contents) {
        mTable.closeIdle();
        contents.ifPresent(this::add);
        mState.log()
                .process(
                        LogLine.of("software-version-history")
                                .with("read", contents.isPresent())
                                .with("streams", mWaiting.size()));
        List<Runnable> waiting = List.copyOf(mWaiting);
        mWaiting.clear();
        waiting.forEach(Runnable::run);
    }

    private void add(SoftwareVersionTable.Contents contents) {
        SoftwareVersions versions = mState.softwareVersions();
        long now = mState.nowMillis();
        contents.rows()
                .forEach(
                        (service, row) ->
                                versions.add(service, row.record(), contents.storeMillis(), now));
        if (contents.whole()) {
            versions.historyRead();
        }
    }
}

package org.wasabilug.internal.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.wasabilug.internal.ticket.TicketCodec;
import org.wasabilug.model.ConfigurationObject;
import org.wasabilug.model.PipelineName;
import org.wasabilug.model.PoolName;
import org.wasabilug.model.SaltedHash;
import org.wasabilug.model.Workspace;
import org.wasabilug.model.WorkspaceName;
import org.wasabilug.port.VersionedObject;

class ConfigurationSizeTest {
    private static final int WORKSPACES = 26_000;
    private static final int MERGES = 130_000;
    private static final long MEMORY_LIMIT_BYTES = 32L << 20;
    private static final int GARBAGE_COLLECTIONS = 4;

    private static VersionedObject workspace(int number, long ticket) {
        Workspace workspace =
                Workspace.builder()
                        .name(new WorkspaceName("workspace-" + number))
                        .key(new SaltedHash("%032x".formatted(number), "%064x".formatted(number)))
                        .pipelines(
                                Set.of(
                                        new PipelineName("certificates"),
                                        new PipelineName("leak-checks")))
                        .services(Set.of(new PoolName("ledger")))
                        .build();
        // Converted through JSON, like every object received from the feed or from peers.
        Optional<ConfigurationObject> read =
                TicketCodec.readState(workspace.objectKey(), TicketCodec.writeState(workspace));
        return new VersionedObject(workspace.objectKey(), ticket, read);
    }

    private static long usedBytes() {
        for (int count = 0; count < GARBAGE_COLLECTIONS; count++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }

    @Test
    void holdsTheWorkspacesOfTheDesignSizeWithinTheMemoryLimit() {
        long before = usedBytes();
        Configuration configuration = Configuration.empty();
        for (int number = 0; number < WORKSPACES; number++) {
            configuration = configuration.merge(List.of(workspace(number, 1)));
        }

        long bytes = usedBytes() - before;

        System.out.printf(
                "%d workspaces: %.1f MB, %d bytes each%n",
                WORKSPACES, bytes / 1e6, bytes / WORKSPACES);
        assertThat(configuration.objects()).hasSize(WORKSPACES);
        assertThat(bytes).isLessThan(MEMORY_LIMIT_BYTES);
    }

    @Test
    void mergesTenDaysOfChangesOneAtATime() {
        List<VersionedObject> objects = new ArrayList<>();
        for (int number = 0; number < WORKSPACES; number++) {
            objects.add(workspace(number, 1));
        }
        Configuration configuration = Configuration.empty().merge(objects);

        long startNanos = System.nanoTime();
        for (int merge = 0; merge < MERGES; merge++) {
            VersionedObject old = objects.get(merge % WORKSPACES);
            configuration =
                    configuration.merge(
                            List.of(new VersionedObject(old.key(), 2 + merge, old.state())));
        }
        long nanos = System.nanoTime() - startNanos;

        System.out.printf("%d merges: %d ns each%n", MERGES, nanos / MERGES);
        assertThat(configuration.objects()).hasSize(WORKSPACES);
        assertThat(configuration.objects())
                .allSatisfy(object -> assertThat(object.ticketNumber()).isGreaterThan(1));
    }
}

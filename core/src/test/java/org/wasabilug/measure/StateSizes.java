package org.wasabilug.measure;

import java.lang.management.ManagementFactory;
import java.util.Map;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.wasabilug.internal.limit.AdmissionSettings;
import org.wasabilug.internal.limit.DistributedWorkspaceAdmission;
import org.wasabilug.model.InstanceName;
import org.wasabilug.model.SaltedHash;
import org.wasabilug.model.Workspace;
import org.wasabilug.model.WorkspaceName;
import org.wasabilug.port.WorkspaceUsage;

/** Prints the memory that workspace limits use, by number of active workspaces. */
public final class StateSizes {
    private static final int PEERS = 12;
    private static final int COLLECTIONS_BEFORE_MEASUREMENT = 4;

    private StateSizes() {}

    /**
     * Runs all measurements.
     *
     * @param arguments ignored
     */
    public static void main(String[] arguments) {
        for (int workspaces : new int[] {1_000, 5_000, 26_000}) {
            print("local accounts", workspaces, () -> admissionWithLocalRequests(workspaces));
            print(
                    "usage received from 12 peers",
                    workspaces,
                    () -> admissionWithPeerUsage(workspaces));
        }
    }

    private static void print(String label, int count, Supplier<Object> factory) {
        long before = usedBytes();
        Object created = factory.get();
        long bytes = usedBytes() - before;
        System.out.printf(
                "%s, %d workspaces: %d KB, %d bytes each %s%n",
                label, count, bytes / 1_000, bytes / count, created.getClass().getSimpleName());
    }

    private static DistributedWorkspaceAdmission admissionWithLocalRequests(int workspaces) {
        var admission = new DistributedWorkspaceAdmission(AdmissionSettings.defaults());
        for (int number = 0; number < workspaces; number++) {
            Workspace workspace =
                    Workspace.builder()
                            .name(new WorkspaceName("workspace-" + number))
                            .key(new SaltedHash("00", "00"))
                            .build();
            admission.admit(workspace, 0);
        }
        return admission;
    }

    private static DistributedWorkspaceAdmission admissionWithPeerUsage(int workspaces) {
        var admission = new DistributedWorkspaceAdmission(AdmissionSettings.defaults());
        for (int peer = 0; peer < PEERS; peer++) {
            admission.applyPeerUsage(new InstanceName("entry-" + peer), usage(workspaces), 0);
        }
        return admission;
    }

    private static Map<WorkspaceName, WorkspaceUsage> usage(int workspaces) {
        return IntStream.range(0, workspaces)
                .boxed()
                .collect(
                        Collectors.toMap(
                                number -> new WorkspaceName("workspace-" + number),
                                number -> new WorkspaceUsage(1, 1.5)));
    }

    private static long usedBytes() {
        for (int count = 0; count < COLLECTIONS_BEFORE_MEASUREMENT; count++) {
            System.gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}

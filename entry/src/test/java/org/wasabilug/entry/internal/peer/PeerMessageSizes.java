package org.wasabilug.entry.internal.peer;

import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.wasabilug.model.FailureDomainName;
import org.wasabilug.model.InstanceName;
import org.wasabilug.model.WorkspaceName;
import org.wasabilug.port.PeerMessage;
import org.wasabilug.port.WorkspaceUsage;

/**
 * Prints the encoded sizes of a heartbeat and of usage messages for several numbers of workspaces.
 */
public final class PeerMessageSizes {
    private static final InstanceName SENDER = new InstanceName("entry-117");

    private PeerMessageSizes() {}

    /**
     * Prints the sizes.
     *
     * @param arguments not used
     */
    public static void main(String[] arguments) {
        PeerMessage heartbeat =
                new PeerMessage.Heartbeat(
                        3,
                        new FailureDomainName("rennes"),
                        130_000,
                        0x1234_5678_9abcL,
                        false,
                        1_000);
        System.out.printf("heartbeat: %d bytes%n", size(heartbeat));
        for (int workspaces : new int[] {10, 100, 222, 1_000}) {
            int bytes = size(new PeerMessage.Usage(usage(workspaces)));
            System.out.printf(
                    "usage of %d workspaces: %d bytes, %.1f bytes each%n",
                    workspaces, bytes, (double) bytes / workspaces);
        }
    }

    private static int size(PeerMessage message) {
        return PeerMessageCodec.encode(SENDER, 3, message).getSerializedSize();
    }

    private static Map<WorkspaceName, WorkspaceUsage> usage(int workspaces) {
        return IntStream.range(0, workspaces)
                .boxed()
                .collect(
                        Collectors.toMap(
                                number -> new WorkspaceName("workspace-" + (10_000 + number)),
                                number -> new WorkspaceUsage(1, 1.5)));
    }
}

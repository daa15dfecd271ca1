package org.wasabilug.entry.usage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import org.junit.jupiter.api.Test;
import org.wasabilug.entry.EntryInstance;
import org.wasabilug.entry.fake.FakeEndpoints;
import org.wasabilug.entry.fake.FakeInstance;
import org.wasabilug.error.ErrorCode;
import org.wasabilug.error.WasabilugException;

class ListenFailureTest {
    @Test
    void namesAddressInUse() throws IOException {
        try (ServerSocket occupied = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                EntryInstance instance =
                        FakeInstance.with(new FakeEndpoints(true))
                                .callersAddress(
                                        new InetSocketAddress("127.0.0.1", occupied.getLocalPort()))
                                .build()) {

            assertThatThrownBy(instance::start)
                    .isInstanceOf(WasabilugException.class)
                    .hasMessageContaining("can't listen at")
                    .hasMessageContaining(Integer.toString(occupied.getLocalPort()))
                    .satisfies(
                            failure ->
                                    assertThat(((WasabilugException) failure).code())
                                            .isEqualTo(ErrorCode.INVALID_SETTINGS));
        }
    }
}

package org.wasabilug.gateway.internal.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.wasabilug.gateway.internal.endpoint.ConnectionRouter.Relay;

/** Which relay gets a request if some can't pass it on, and what is told if none can. */
class RelayChoiceTest {
    private static final Duration AT_ONCE = Duration.ofMillis(500);

    /** How long a relay may take to reply. */
    private static final Duration REPLY_TIME = Duration.ofMillis(1_000);

    /** After this time without a reply the next relay is asked as well. */
    private static final Duration LATE = REPLY_TIME.dividedBy(4);

    /** What the machine may add. */
    private static final Duration MARGIN = Duration.ofMillis(200);

    private RelayInstance mFirst;
    private RelayInstance mSecond;
    private AskingInstance mAsking;
    private SocketEndpoint mEndpoint;

    /** The first connection of a process loads classes, which would count as a late relay. */
    @BeforeAll
    static void loadClasses() throws Exception {
        try (RelayInstance relay = new RelayInstance("first", "127.0.0.3");
                AskingInstance asking = new AskingInstance(relay);
                SocketEndpoint endpoint = new SocketEndpoint()) {
            relay.register(endpoint.registration());
            assertAnswered(endpoint, asking.send(endpoint.registration()));
        }
    }

    @BeforeEach
    void start() throws IOException, InterruptedException {
        mFirst = new RelayInstance("first", "127.0.0.3");
        mSecond = new RelayInstance("second", "127.0.0.4");
        mAsking = new AskingInstance(mFirst, mSecond);
        mEndpoint = new SocketEndpoint();
        mFirst.register(mEndpoint.registration());
        mSecond.register(mEndpoint.registration());
    }

    @AfterEach
    void stop() throws IOException {
        mAsking.close();
        mFirst.close();
        mSecond.close();
        mEndpoint.close();
    }

    @Test
    void aRelayThatIsStoppingLeadsToTheNext() throws Exception {
        mFirst.startStop();
        RecordedAnswer answer = mAsking.send(mEndpoint.registration());

        assertAnswered(answer);
        assertThat(mAsking.relayed()).containsExactly("first NO_CAPACITY", "second OPENED");
    }

    @Test
    void aRelayThatKnowsTheEndpointAsLeavingLeadsToTheNext() throws Exception {
        mFirst.register(mEndpoint.leaving());
        RecordedAnswer answer = mAsking.send(mEndpoint.registration());

        assertAnswered(answer);
        assertThat(mAsking.relayed()).containsExactly("first NO_ENDPOINT", "second OPENED");
    }

    @Test
    void aRelayThatIsGoneLeadsToTheNextAtOnce() throws Exception {
        mAsking.relayThrough(unused("gone"), mSecond.relay());
        long started = System.nanoTime();
        RecordedAnswer answer = mAsking.send(mEndpoint.registration());

        assertAnswered(answer);
        assertThat(since(started)).isLessThan(AT_ONCE);
        assertThat(mAsking.relayed()).containsExactly("gone UNKNOWN", "second OPENED");
    }

    @Test
    void relaysThatNeverReplyDelayARequestOnlyUntilTheyAreLate() throws Exception {
        try (ServerSocket hanging = listen()) {
            mAsking.relayThrough(relay("one", hanging), relay("two", hanging), mSecond.relay());
            long started = System.nanoTime();
            RecordedAnswer answer = mAsking.send(mEndpoint.registration());

            assertAnswered(answer);
            assertThat(since(started)).isLessThan(LATE.multipliedBy(2).plus(MARGIN));
            assertThat(mAsking.relayed()).containsExactly("one late", "two late", "second OPENED");
        }
    }

    @Test
    void aRequestIsReportedAsNotSentOnceNoneOfItsRelaysHasRepliedInTime() throws Exception {
        try (ServerSocket hanging = listen()) {
            mAsking.relayThrough(
                    relay("one", hanging), relay("two", hanging), relay("three", hanging));
            long started = System.nanoTime();
            RecordedAnswer answer = mAsking.send(mEndpoint.registration());

            assertThat(answer.end()).isEqualTo("NOT_RELAYED");
            assertThat(since(started))
                    .isLessThan(REPLY_TIME.plus(LATE.multipliedBy(2)).plus(MARGIN));
            assertThat(mAsking.relayed())
                    .endsWith("one UNKNOWN", "two UNKNOWN", "three UNKNOWN")
                    .hasSize(6);
        }
    }

    @Test
    void aRequestIsSentOnOneConnectionAlthoughALateRelayOpensAnotherForIt() throws Exception {
        try (ServerSocket slow = listen()) {
            mAsking.relayThrough(relay("slow", slow), mSecond.relay());
            RecordedAnswer answer = mAsking.send(mEndpoint.registration());
            try (Socket endpoint = mEndpoint.acceptRequest();
                    Socket late = slow.accept()) {
                RelayMessages.open(late);
                assertThat(late.getInputStream().read()).isNegative();
                SocketEndpoint.respond(endpoint, "id", "whole");
                assertThat(answer.end()).isEqualTo(RecordedAnswer.COMPLETE);
            }
            assertThat(mAsking.relayed()).containsExactly("slow late", "second OPENED");
        }
    }

    @Test
    void aRequestOnItsWayDoesNotFailAlthoughALateRelaySaysThatTheEndpointRefuses()
            throws Exception {
        try (ServerSocket slow = listen()) {
            mAsking.relayThrough(relay("slow", slow), mSecond.relay());
            RecordedAnswer answer = mAsking.send(mEndpoint.registration());
            try (Socket endpoint = mEndpoint.acceptRequest();
                    Socket late = slow.accept()) {
                RelayMessages.refuse(late);
                assertThat(late.getInputStream().read()).isNegative();
                SocketEndpoint.respond(endpoint, "id", "whole");
                assertThat(answer.end()).isEqualTo(RecordedAnswer.COMPLETE);
            }
            assertThat(mAsking.relayed())
                    .containsExactly("slow late", "second OPENED", "slow REFUSED");
        }
    }

    /** Guards against a request that arrives although it was counted as not sent. */
    @Test
    void aRequestReportedAsNotSentIsNotSentWhenALateRelayOpensAConnectionForIt() throws Exception {
        try (SocketEndpoint gone = new SocketEndpoint();
                SocketEndpoint beside = new SocketEndpoint();
                ServerSocket slow = listen()) {
            mSecond.register(gone.registration());
            mSecond.register(beside.registration("beside"));
            gone.close();
            mAsking.relayThrough(relay("slow", slow), mSecond.relay());
            RecordedAnswer answer = mAsking.send(mEndpoint.registration());
            assertThat(answer.end()).isEqualTo("NOT_CONNECTED");
            try (Socket late = slow.accept()) {
                RelayMessages.open(late);
                assertThat(late.getInputStream().read()).isNegative();
            }
        }
    }

    @Test
    void aRelayThatRepliesWithOtherBytesLeadsToTheNextAtOnce() throws Exception {
        try (ServerSocket other = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.5"))) {
            mAsking.relayThrough(relay("other", other), mSecond.relay());
            long started = System.nanoTime();
            RecordedAnswer answer = mAsking.send(mEndpoint.registration());
            try (Socket socket = other.accept()) {
                SocketEndpoint.write(socket, "\r\r\r\rHTTP/1.1 400 Bad Request\r\n\r\n");
                assertAnswered(answer);
            }

            assertThat(since(started)).isLessThan(AT_ONCE);
            assertThat(mAsking.relayed()).containsExactly("other UNKNOWN", "second OPENED");
        }
    }

    @Test
    void aRequestThatNoRelayPassesOnIsReportedAsNotSentAtOnce() throws Exception {
        mFirst.startStop();
        mSecond.takeOutOfService(SocketEndpoint.DOMAIN);
        long started = System.nanoTime();
        RecordedAnswer answer = mAsking.send(mEndpoint.registration());

        assertThat(answer.end()).isEqualTo("NOT_RELAYED");
        assertThat(since(started)).isLessThan(AT_ONCE);
    }

    @Test
    void anEndpointThatRefusesARelayWhichReachesAnotherOneBesideItIsNotAskedThroughAnother()
            throws Exception {
        try (SocketEndpoint gone = new SocketEndpoint();
                SocketEndpoint beside = new SocketEndpoint()) {
            mFirst.register(gone.registration());
            mFirst.register(beside.registration("beside"));
            gone.close();
            RecordedAnswer answer = mAsking.send(mEndpoint.registration());

            assertThat(answer.end()).isEqualTo("NOT_CONNECTED");
            assertThat(mAsking.relayed()).containsExactly("first REFUSED");
        }
    }

    @Test
    void anEndpointIsAskedThroughAnotherRelayIfTheFirstReachesNoneBesideIt() throws Exception {
        try (SocketEndpoint gone = new SocketEndpoint()) {
            mFirst.register(gone.registration());
            gone.close();
            assertAnswered(mAsking.send(mEndpoint.registration()));

            assertThat(mAsking.relayed()).containsExactly("first NO_ROUTE", "second OPENED");
        }
    }

    @Test
    void aRelayAsksNoOtherRelayItself() throws Exception {
        try (AskingInstance other = new AskingInstance(mFirst)) {
            assertAnswered(other.send(mEndpoint.registration()));

            assertThat(mFirst.logged("connection-relayed")).isEqualTo(1);
            assertThat(mSecond.logged("connection-relayed")).isZero();
        }
    }

    @Test
    void aRequestIsBrokenAndNotSentTwiceIfItsRelayIsGoneBeforeAnAnswer() throws Exception {
        try (ServerSocket relay = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.5"))) {
            mAsking.relayThrough(relay("dying", relay), mSecond.relay());
            RecordedAnswer answer = mAsking.send(mEndpoint.registration());
            Socket socket = relay.accept();
            RelayMessages.open(socket);
            SocketEndpoint.readHead(socket);
            SocketEndpoint.reset(socket);

            assertThat(answer.end()).isEqualTo("BROKEN");
            assertThat(mSecond.logged("connection-relayed")).isZero();
        }
    }

    @Test
    void aRequestThatIsLostOnTheWayCountsAsSent() throws Exception {
        try (ServerSocket relay = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.5"))) {
            mAsking.relayThrough(relay("dying", relay), mSecond.relay());
            RecordedAnswer answer = mAsking.send(mEndpoint.registration());
            Socket socket = relay.accept();
            RelayMessages.open(socket);
            SocketEndpoint.reset(socket);

            assertThat(answer.end()).isEqualTo("BROKEN");
            assertThat(mSecond.logged("connection-relayed")).isZero();
        }
    }

    @Test
    void theReplyOfARelayMayArriveInFragmentsOfOneByteBesideTheAnswer() throws Exception {
        try (ServerSocket relay = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.5"))) {
            mAsking.relayThrough(relay("slow", relay));
            RecordedAnswer answer = mAsking.send(mEndpoint.registration());
            try (Socket socket = relay.accept()) {
                RelayMessages.openInFragments(socket);
                SocketEndpoint.readHead(socket);
                for (char next :
                        "HTTP/1.1 200 OK\r\nId: id\r\nContent-Length: 1\r\n\r\na".toCharArray()) {
                    SocketEndpoint.write(socket, String.valueOf(next));
                }

                assertThat(answer.end()).isEqualTo(RecordedAnswer.COMPLETE);
                assertThat(answer.content()).isEqualTo("a");
            }
        }
    }

    private void assertAnswered(RecordedAnswer answer) throws Exception {
        assertAnswered(mEndpoint, answer);
    }

    private static void assertAnswered(SocketEndpoint endpoint, RecordedAnswer answer)
            throws Exception {
        try (Socket socket = endpoint.acceptRequest()) {
            SocketEndpoint.respond(socket, "id", "whole");
            assertThat(answer.end()).isEqualTo(RecordedAnswer.COMPLETE);
        }
    }

    private static Duration since(long startedNanos) {
        return Duration.ofNanos(System.nanoTime() - startedNanos);
    }

    private static Relay relay(String name, ServerSocket socket) {
        return new Relay(name, (InetSocketAddress) socket.getLocalSocketAddress());
    }

    private static ServerSocket listen() throws IOException {
        return new ServerSocket(0, 50, InetAddress.getByName("127.0.0.5"));
    }

    private static Relay unused(String name) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.5"))) {
            return relay(name, socket);
        }
    }
}

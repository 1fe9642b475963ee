package saltstage.lab.amqp;

import static org.hamcrest.CoreMatchers.notNullValue;
import static org.hamcrest.CoreMatchers.nullValue;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.qpid.protonj2.test.driver.ProtonTestClient;
import org.apache.qpid.protonj2.test.driver.actions.FlowInjectAction;
import org.apache.qpid.protonj2.test.driver.codec.transport.Role;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import saltstage.net.NettyTransport;

/**
 * Tests the AMQP frontend frame by frame with the third-party protonj2 test driver: each frame that
 * the relay sends must be one that the script expects. Guards against protocol faults that clients
 * tolerate, such as a flow that is not answered or an outcome after a detach.
 */
@Timeout(120)
class ProtocolDriverTest {
    /** A message with the message id "d1" (AMQP 1.0, 3.2.4) and one byte of data (3.2.6). */
    private static final byte[] MESSAGE = {
        0,
        0x53,
        0x73,
        (byte) 0xc0,
        5,
        1,
        (byte) 0xa1,
        2,
        'd',
        '1',
        0,
        0x53,
        0x75,
        (byte) 0xa0,
        1,
        'x'
    };

    private static final int MAX_ATTEMPTS = 5;

    private AmqpTestEnvironment env;
    private ProtonTestClient driver;

    /** The frames that the driver sends and expects in one test. */
    private interface Script {
        void run() throws Exception;
    }

    /**
     * Runs a script, and runs it again with a new relay if an attach was rejected with "come
     * again", as happens on a slow machine.
     */
    private void runWithRetries(Script script) throws Exception {
        for (int i = 1; ; i++) {
            try {
                script.run();
                return;
            } catch (AssertionError failure) {
                if (i == MAX_ATTEMPTS
                        || !String.valueOf(failure.getMessage()).contains("come again")) {
                    throw failure;
                }
                tearDown();
            }
        }
    }

    private void startRelay(String settings) throws Exception {
        env = new AmqpTestEnvironment(1, settings);
        awaitFirstLink();
        driver = new ProtonTestClient();
        driver.connect(
                env.amqpAddress().getAddress().getHostAddress(), env.amqpAddress().getPort());
        driver.expectAMQPHeader();
        driver.remoteAMQPHeader().now();
        driver.waitForScriptToComplete(20, TimeUnit.SECONDS);
    }

    /** Waits until the relay takes links; it may reject them shortly after its start. */
    private void awaitFirstLink() throws Exception {
        try (NettyTransport transport =
                new NettyTransport(1, false, (context, fault) -> fault.printStackTrace())) {
            AmqpLoadClient client =
                    new AmqpLoadClient(
                            transport,
                            transport.loops().get(0),
                            env.amqpAddress(),
                            "first",
                            1,
                            "session-check",
                            64,
                            new DeliveryTracker());
            env.await("the first link is attached", () -> client.attachedCount() == 1);
            client.close();
            env.await("the first link is closed", () -> backend().linkCount() == 0);
        }
    }

    private void openSession() throws Exception {
        startRelay("  idle = \"2s\"\n");
        driver.expectOpen();
        driver.expectBegin();
        driver.remoteOpen().withContainerId("driver").now();
        driver.remoteBegin()
                .withNextOutgoingId(0)
                .withIncomingWindow(100)
                .withOutgoingWindow(100)
                .now();
        awaitScript();
    }

    private void awaitScript() {
        driver.waitForScriptToComplete(20, TimeUnit.SECONDS);
    }

    /** Returns a flow with the session state that applies while nothing has been transferred. */
    private FlowInjectAction flow() {
        return driver.remoteFlow()
                .withIncomingWindow(100)
                .withNextIncomingId(0)
                .withNextOutgoingId(0)
                .withOutgoingWindow(100);
    }

    private FakeAmqpBackend backend() {
        return env.fleet().amqpBackends().get(0);
    }

    private void attachSender(boolean settlesSecond) {
        driver.expectAttach().ofReceiver().withHandle(0);
        driver.expectFlow().withHandle(nullValue()).optional();
        driver.expectFlow().withHandle(0).withLinkCredit(notNullValue());
        var attach =
                driver.remoteAttach()
                        .ofSender()
                        .withName("out")
                        .withHandle(0)
                        .withInitialDeliveryCount(0);
        if (settlesSecond) {
            attach.withReceivervSettlesSecond();
        }
        attach.withSource().withAddress("driver").also();
        attach.withTarget().withAddress("session-check").also().now();
        awaitScript();
    }

    private void attachReceiver() {
        driver.expectAttach().ofSender().withHandle(0);
        var attach = driver.remoteAttach().ofReceiver().withName("in").withHandle(0);
        attach.withSource().withAddress("session-check").also();
        attach.withTarget().withAddress("driver").also().now();
        awaitScript();
    }

    @AfterEach
    void tearDown() throws Exception {
        driver.close();
        env.close();
    }

    @Test
    void echoRequestsOfLinkAndSessionAreAnswered() throws Exception {
        runWithRetries(this::echoRequestsOfLinkAndSessionAreAnsweredScript);
    }

    private void echoRequestsOfLinkAndSessionAreAnsweredScript() throws Exception {
        openSession();
        attachSender(false);
        driver.expectFlow().withHandle(0).withLinkCredit(notNullValue());
        flow().withHandle(0).withDeliveryCount(0).withLinkCredit(0).withEcho(true).now();
        awaitScript();
        driver.expectFlow().withHandle(nullValue());
        flow().withNullHandle().withEcho(true).now();
        awaitScript();
    }

    @Test
    void drainReturnsUnusedCredit() throws Exception {
        runWithRetries(this::drainReturnsUnusedCreditScript);
    }

    private void drainReturnsUnusedCreditScript() throws Exception {
        openSession();
        backend().setMessagesPerLink(0);
        attachReceiver();
        flow().withHandle(0).withDeliveryCount(0).withLinkCredit(7).now();
        env.await("the backend has the credit", () -> backend().availableCredit() == 7);
        driver.expectFlow().withHandle(0).withDeliveryCount(7).withLinkCredit(0).withDrain(true);
        flow().withHandle(0).withDeliveryCount(0).withLinkCredit(7).withDrain(true).now();
        awaitScript();
        env.await("the backend has no credit left", () -> backend().availableCredit() == 0);
    }

    @Test
    void reducedCreditIsReducedAtTheBackend() throws Exception {
        runWithRetries(this::reducedCreditIsReducedAtTheBackendScript);
    }

    private void reducedCreditIsReducedAtTheBackendScript() throws Exception {
        openSession();
        backend().setMessagesPerLink(0);
        attachReceiver();
        for (int credit : new int[] {50, 3, 0, 4}) {
            flow().withHandle(0).withDeliveryCount(0).withLinkCredit(credit).now();
            env.await("credit " + credit, () -> backend().availableCredit() == credit);
        }
    }

    @Test
    void inModeSecondTheBackendSettlesAfterTheClient() throws Exception {
        runWithRetries(this::inModeSecondTheBackendSettlesAfterTheClientScript);
    }

    private void inModeSecondTheBackendSettlesAfterTheClientScript() throws Exception {
        openSession();
        attachSender(true);
        driver.expectDisposition().withFirst(0).withState().accepted();
        driver.remoteTransfer()
                .withHandle(0)
                .withDeliveryId(0)
                .withDeliveryTag(new byte[] {1})
                .withPayload(MESSAGE)
                .now();
        awaitScript();
        assertEquals(0, backend().senderSettledFirstCount());
        driver.remoteDisposition()
                .withRole(Role.SENDER)
                .withFirst(0)
                .withSettled(true)
                .withState()
                .accepted()
                .now();
        env.await("settled at the backend", () -> backend().senderSettledFirstCount() == 1);
    }

    @Test
    void sessionEndDuringATransferLeavesNothingBehind() throws Exception {
        runWithRetries(this::sessionEndDuringATransferLeavesNothingBehindScript);
    }

    private void sessionEndDuringATransferLeavesNothingBehindScript() throws Exception {
        openSession();
        attachSender(false);
        driver.expectEnd();
        driver.remoteTransfer()
                .withHandle(0)
                .withDeliveryId(0)
                .withDeliveryTag(new byte[] {1})
                .withMore(true)
                .withPayload(MESSAGE)
                .now();
        driver.remoteEnd().now();
        awaitScript();
        env.await("no link", () -> backend().linkCount() == 0);
        assertEquals(List.of(), backend().acceptedIds());
        driver.expectBegin(); // the connection stays usable
        driver.remoteBegin()
                .withNextOutgoingId(0)
                .withIncomingWindow(100)
                .withOutgoingWindow(100)
                .now();
        awaitScript();
        attachSender(false);
        driver.expectDisposition().withFirst(0).withSettled(true).withState().accepted();
        driver.remoteTransfer()
                .withHandle(0)
                .withDeliveryId(0)
                .withDeliveryTag(new byte[] {1})
                .withPayload(MESSAGE)
                .now();
        awaitScript();
    }

    @Test
    void detachDuringATransferLeavesNothingBehindAndNoOutcome() throws Exception {
        runWithRetries(this::detachDuringATransferLeavesNothingBehindAndNoOutcomeScript);
    }

    private void detachDuringATransferLeavesNothingBehindAndNoOutcomeScript() throws Exception {
        openSession();
        attachSender(false);
        driver.expectDetach().withHandle(0);
        // The session window, which the bytes of the detached link had used, is opened again.
        driver.expectFlow().withHandle(nullValue());
        driver.remoteTransfer()
                .withHandle(0)
                .withDeliveryId(0)
                .withDeliveryTag(new byte[] {1})
                .withMore(true)
                .withPayload(MESSAGE)
                .now();
        driver.remoteDetach().withHandle(0).withClosed(true).now();
        awaitScript();
        env.await("no link", () -> backend().linkCount() == 0);
        assertEquals(List.of(), backend().acceptedIds());
    }

    @Test
    void transactionsAreRejectedWithAnError() throws Exception {
        runWithRetries(this::transactionsAreRejectedWithAnErrorScript);
    }

    private void transactionsAreRejectedWithAnErrorScript() throws Exception {
        openSession();
        driver.expectAttach().withTarget(nullValue()).optional();
        driver.expectDetach().withError("amqp:not-implemented", "transactions");
        var attach =
                driver.remoteAttach()
                        .ofSender()
                        .withName("tx")
                        .withHandle(0)
                        .withInitialDeliveryCount(0);
        attach.withSource().withAddress("driver").also();
        attach.withCoordinator().also().now();
        awaitScript();
    }

    @Test
    void heartbeatsFollowTheIdleTimeoutAndAHalfOpenClientIsDisconnected() throws Exception {
        runWithRetries(this::heartbeatsFollowTheIdleTimeoutAndAHalfOpenClientIsDisconnectedScript);
    }

    private void heartbeatsFollowTheIdleTimeoutAndAHalfOpenClientIsDisconnectedScript()
            throws Exception {
        startRelay("  idle = \"2s\"\n");
        driver.expectOpen();
        driver.expectEmptyFrame();
        driver.expectEmptyFrame();
        driver.remoteOpen().withContainerId("driver").withIdleTimeOut(400).now();
        awaitScript();
        // The driver is silent from here on: the relay sends heartbeats until its idle timeout,
        // then closes the connection.
        for (int i = 0; i < 30; i++) {
            driver.expectEmptyFrame().optional();
        }
        driver.expectClose().withError("amqp:resource-limit-exceeded");
        awaitScript();
    }
}

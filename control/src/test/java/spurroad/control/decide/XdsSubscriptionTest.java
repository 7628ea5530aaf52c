package spurroad.control.decide;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Optional;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;
import spurroad.control.decide.XdsSubscription.Response;

/** Tests the responses of one xDS subscription to sequences of requests and versions. */
public class XdsSubscriptionTest {
    private XdsSubscription newSubscription;

    @BeforeMethod
    public void createSubscription() {
        newSubscription = new XdsSubscription();
    }

    private static Optional<Response> response(String version, String nonce) {
        return Optional.of(new Response(version, nonce));
    }

    private XdsSubscription subscribedTo(String version) {
        XdsSubscription subscription = new XdsSubscription();
        subscription.onNewVersion(version);
        assertEquals(subscription.onRequest("", "", null, true), response(version, "1"));
        return subscription;
    }

    @Test
    public void sendsNothingBeforeRequestAndVersion() {
        assertEquals(newSubscription.onRequest("", "", null, true), Optional.empty());
        assertEquals(newSubscription.onNewVersion("v1"), response("v1", "1"));
        assertEquals(new XdsSubscription().onNewVersion("v1"), Optional.empty());
    }

    @Test
    public void acknowledgedVersionIsNotSentAgain() {
        XdsSubscription subscription = subscribedTo("v1");
        assertEquals(subscription.onRequest("v1", "1", null, false), Optional.empty());
        assertEquals(subscription.acknowledgedVersion(), "v1");
        assertTrue(subscription.isUpToDate());
        assertEquals(subscription.onNewVersion("v1"), Optional.empty());
        assertEquals(subscription.onNewVersion("v2"), response("v2", "2"));
    }

    @Test
    public void slowReaderReceivesOnlyNewestVersion() {
        XdsSubscription subscription = subscribedTo("v1");
        for (int i = 2; i < 50; i++) {
            assertEquals(subscription.onNewVersion("v" + i), Optional.empty());
        }
        assertEquals(subscription.onRequest("v1", "1", null, false), response("v49", "2"));
    }

    @Test
    public void rejectedVersionIsNotSentAgain() {
        XdsSubscription subscription = subscribedTo("v1");
        subscription.onRequest("v1", "1", null, false);
        subscription.onNewVersion("v2");
        assertEquals(subscription.onRequest("v1", "2", "a faulty cluster", false), Optional.empty());
        assertEquals(subscription.acknowledgedVersion(), "v1");
        assertEquals(subscription.rejectedVersion(), "v2");
        assertFalse(subscription.isUpToDate());
        assertEquals(subscription.onNewVersion("v2"), Optional.empty());
        assertEquals(subscription.onNewVersion("v3"), response("v3", "3"));
    }

    @Test
    public void requestWithOutdatedNonceIsIgnored() {
        XdsSubscription subscription = subscribedTo("v1");
        subscription.onRequest("v1", "1", null, false);
        subscription.onNewVersion("v2");
        assertEquals(subscription.onRequest("v1", "1", "late", false), Optional.empty());
        assertEquals(subscription.rejectedVersion(), "");
        assertEquals(subscription.onRequest("v2", "2", null, false), Optional.empty());
        assertTrue(subscription.isUpToDate());
    }

    @Test
    public void changedResourcesAreSentWithUnchangedVersion() {
        XdsSubscription subscription = subscribedTo("v1");
        assertEquals(subscription.onRequest("v1", "1", null, true), response("v1", "2"));
    }

    @Test
    public void resumedStreamDoesNotReceiveItsCurrentVersion() {
        newSubscription.onNewVersion("v1");
        assertEquals(newSubscription.onRequest("v1", "", null, true), Optional.empty());
        assertEquals(newSubscription.onNewVersion("v2"), response("v2", "1"));
    }
}

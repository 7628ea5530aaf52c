package spurroad.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.Test;

/** The order and the number of messages that a mailbox passes on. */
public class MailboxTest {
    @Test
    public void takesAllInOrderAndRejectsMoreThanCapacity() throws InterruptedException {
        Mailbox mailbox = new Mailbox(3);
        List<Integer> received = new ArrayList<>();
        mailbox.post(() -> received.add(1));
        mailbox.post(List.of(() -> received.add(2), () -> received.add(3)));
        assertThrows(IllegalStateException.class, () -> mailbox.post(() -> received.add(4)));
        mailbox.takeAll(Long.MAX_VALUE).forEach(Runnable::run);
        assertEquals(received, List.of(1, 2, 3));
        assertTrue(mailbox.takeAll(1_000_000).isEmpty());
    }
}

package spurroad.program;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import spurroad.fixture.ScriptedPeers.ConnectionObserver;
import spurroad.program.RequestHistory.Execution;

/**
 * Records at a scripted origin each write that it executes: when it had read the request, when its answer was
 * written, and whether it ended the connection before the proxy did. Keeps messages that are not of the
 * origin's load. Thread-safe; all events of a connection come on one thread.
 */
final class OriginRecorder implements ConnectionObserver {
    private static final Pattern WRITE = Pattern.compile("(?s)PUT .*,k=([a-z0-9]+).*");
    private static final Pattern READ = Pattern.compile("(?s)GET .*\nX-Request-Id: (\\S+).*");

    private final ExecutionLog log;
    private final String idPrefix;
    private final ThreadLocal<Execution> lastExecution = new ThreadLocal<>(); // null after other messages
    private final Queue<String> foreignMessages = new ConcurrentLinkedQueue<>();

    /** Creates a recorder for the origin of the load whose request ids start with a prefix. */
    OriginRecorder(ExecutionLog log, String idPrefix) {
        this.log = log;
        this.idPrefix = idPrefix;
    }

    @Override
    public void onMessage(String message) {
        lastExecution.remove();
        Matcher write = WRITE.matcher(message);
        Matcher read = READ.matcher(message);
        if (write.matches() && write.group(1).startsWith(idPrefix)) {
            lastExecution.set(log.addExecution(write.group(1)));
        } else if (!read.matches() || !read.group(1).startsWith(idPrefix)) {
            foreignMessages.add(message);
        }
    }

    @Override
    public void onResponseWritten() {
        Execution execution = lastExecution.get();
        if (execution != null) {
            execution.onAnswered();
        }
    }

    @Override
    public void onEndedByPeer() {
        Execution execution = lastExecution.get();
        if (execution != null) {
            execution.onBrokenByEndpoint();
        }
    }

    /** Returns the messages that name no request of this origin's load. */
    Queue<String> foreignMessages() {
        return foreignMessages;
    }
}

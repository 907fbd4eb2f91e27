package ivybank.daemon;

import io.netty.channel.EventLoop;
import ivybank.common.Clock;
import ivybank.common.Log;
import ivybank.exchange.RequestHandler;
import ivybank.operator.OperatorFile.StoreSettings;
import ivybank.policy.Balancer.Settings;
import ivybank.promises.DeferredPromises;
import ivybank.promises.PromiseRequestHandler;
import ivybank.store.FileSystemDisk;
import ivybank.store.FolderLock;
import ivybank.store.StoreInUseException;
import ivybank.supervision.EventLoopTasks;
import ivybank.supervision.StartRetry;
import java.io.IOException;
import java.util.function.BooleanSupplier;

/**
 * The store of promises over the life of this process. One process of a sidecar holds it at a time: this one opens it at its
 * start, or takes it over once the process before it has released it or has ended, and releases it to the next one. Without the
 * store, requests that need a promise are refused before anything is sent.
 */
final class StoreOwnership {

    private static final long POLL_INTERVAL_MS = 20;
    private static final long RETRY_DELAY_MS = 200;
    /** For how long the folder may be held although no other process of the sidecar is known. */
    private static final long UNKNOWN_HOLDER_TIMEOUT_MS = 2000;
    /** How long requests in progress may take to be recorded before the store is released without them. */
    private static final double SETTLE_TIMEOUT_MS = 400;

    /** Notified on the event loop whether this process holds the store. */
    interface HeldListener {
        void held(boolean held);
    }

    private final StoreSettings store;
    private final HeldListener heldListener;
    private final String name;
    private final Settings settings;
    private final RequestHandler dispatcher;
    private final EventLoop loop;
    private final Clock clock;
    private final Log log;
    private final DeferredPromises handler;
    private volatile PromiseRequestHandler promises; // null: the store is not open

    // Used on the event loop.
    private double releaseBegunMs = Double.NaN;
    private boolean closing;
    private boolean released;

    StoreOwnership(
            StoreSettings store,
            String name,
            Settings settings,
            RequestHandler dispatcher,
            EventLoop loop,
            Clock clock,
            Log log,
            HeldListener heldListener) {
        this.heldListener = heldListener;
        this.store = store;
        this.name = name;
        this.settings = settings;
        this.dispatcher = dispatcher;
        this.loop = loop;
        this.clock = clock;
        this.log = log;
        this.handler = new DeferredPromises(dispatcher, settings);
    }

    /** Returns the handler of all requests, whether the store is open or not. */
    RequestHandler handler() {
        return handler;
    }

    /** Returns the open promises, or null while the store is not open. */
    PromiseRequestHandler promises() {
        return promises;
    }

    /**
     * Opens the store, unless another process of this sidecar holds it. Blocks.
     *
     * @param siblingRunning whether another process of this sidecar is running, from which the store can be taken over later
     * @throws IOException if the store can't be opened; the message is one line
     */
    void open(boolean siblingRunning) throws IOException {
        try {
            opened(StartRetry.call(
                    "opening the store",
                    log,
                    e -> PromiseStartup.isPermanent(e) || siblingRunning && e instanceof StoreInUseException,
                    this::openPromises));
        } catch (IOException e) {
            if (!siblingRunning || !(e instanceof StoreInUseException)) {
                throw new IOException("store " + store.folder() + ": " + e.getMessage(), e);
            }
            log.line("store " + store.folder()
                    + ": held by the other process of this sidecar, to be taken over from it");
            EventLoopTasks.execute(loop, () -> heldListener.held(false));
        }
    }

    private PromiseRequestHandler openPromises() throws IOException {
        return PromiseStartup.open(store, name, settings, loop, clock, log);
    }

    private void opened(PromiseRequestHandler opened) {
        opened.setDispatcher(dispatcher);
        promises = opened;
        EventLoopTasks.execute(loop, () -> {
            handler.opened(opened);
            heldListener.held(true);
        });
    }

    /**
     * Blocks until the other process of this sidecar has released the store, or has ended, and takes it over. Returns without it where
     * it can't be opened then, since nobody else serves: that is tried again in the background.
     *
     * @param siblingPresent returns whether the other process is running
     */
    void takeOver(BooleanSupplier siblingPresent) {
        try {
            FolderLock lock = awaitLock(siblingPresent);
            opened(PromiseStartup.open(FileSystemDisk.locked(lock), store, name, settings, loop, clock, log));
            log.line("store " + store.folder() + ": taken over");
        } catch (IOException | RuntimeException e) {
            openInBackground(e);
        }
    }

    /** Waits until the folder is free for as long as the other process is running, whatever calls fail meanwhile. */
    private FolderLock awaitLock(BooleanSupplier siblingPresent) throws IOException {
        long startNanos = System.nanoTime();
        FolderLock lock = null;
        IOException failure;
        do {
            try {
                lock = lock == null ? FolderLock.open(store.folder()) : lock;
                if (lock.tryAcquire()) {
                    return lock;
                }
                failure = new StoreInUseException("another process holds the folder");
            } catch (IOException e) {
                failure = e;
            }
        } while (pause(POLL_INTERVAL_MS)
                && (siblingPresent.getAsBoolean() || millisSince(startNanos) < UNKNOWN_HOLDER_TIMEOUT_MS));
        if (lock != null) {
            lock.close();
        }
        throw failure;
    }

    private static long millisSince(long nanos) {
        return (System.nanoTime() - nanos) / 1_000_000;
    }

    private void openInBackground(Exception failure) {
        boolean permanent = PromiseStartup.isPermanent(failure);
        log.line("store " + store.folder() + ": requests that need a promise are refused, "
                + (permanent ? "as it can't be used: " : "retrying: ") + failure.getMessage());
        if (!permanent) {
            Thread thread = new Thread(this::retryOpening, "opening the store");
            thread.setDaemon(true);
            thread.start();
        }
    }

    private void retryOpening() {
        while (promises == null && pause(RETRY_DELAY_MS)) {
            try {
                opened(openPromises());
                log.line("store " + store.folder() + ": open, requests that need a promise are taken");
            } catch (IOException | RuntimeException e) {
                if (PromiseStartup.isPermanent(e)) {
                    log.line("store " + store.folder() + ": can't be used: " + e.getMessage());
                    return;
                }
            }
        }
    }

    /** Waits; returns false if the thread is interrupted. */
    private static boolean pause(long delayMs) {
        try {
            Thread.sleep(delayMs);
            return true;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Begins to release the store to the next process: takes no further promises. Called on the event loop. */
    void beginRelease() {
        if (promises != null && Double.isNaN(releaseBegunMs)) {
            releaseBegunMs = clock.nowMs();
            promises.beginHandOver();
        }
    }

    /**
     * Releases the store once the requests in progress are recorded, or have had the time for it. Returns whether this process
     * does not hold it any more. Called on the event loop.
     */
    boolean pollRelease() {
        if (promises == null || released) {
            return true;
        }
        double waitedMs = clock.nowMs() - releaseBegunMs;
        if (!closing && (promises.inHand() == 0 || waitedMs >= SETTLE_TIMEOUT_MS)) {
            closing = true;
            log.line("store " + store.folder() + ": released to the next process after " + Math.round(waitedMs)
                    + " ms, " + promises.inHand() + " requests in hand stay in doubt");
            Thread closer = new Thread(this::close, "releasing the store"); // waits for the disk
            closer.setDaemon(true);
            closer.start();
        }
        return false;
    }

    private void released(PromiseRequestHandler closed) {
        if (!released) {
            released = true;
            closed.handedOver();
            heldListener.held(false);
        }
    }

    /** Closes the store. Blocks until all that is queued is written, or for a limited time. */
    void close() {
        PromiseRequestHandler open = promises;
        if (open != null) {
            open.close();
            if (open.isClosed()) {
                EventLoopTasks.execute(loop, () -> released(open));
            }
        }
    }
}

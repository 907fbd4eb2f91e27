package ivybank.simhost;

import ivybank.policy.Balancer;
import ivybank.policy.Balancer.AttemptEnd;
import ivybank.policy.Balancer.ListKind;
import ivybank.policy.Balancer.Outcome;
import ivybank.policy.Balancer.Request;
import ivybank.policy.Balancer.Settings;
import ivybank.policy.Balancer.Status;
import ivybank.policy.Balancer.Upstream;
import ivybank.policy.LoadShiftingBalancer;
import ivybank.settings.SettingsParser;
import java.io.EOFException;
import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Hosts many balancers for the simulator: reads batches, passes their events on and writes one reply to each batch. */
public final class SimHost {

    /** Creates the balancer of one instance. */
    interface Factory {
        Balancer create(Settings settings, long seed, Balancer.Actions actions);
    }

    private static final int LIST_SLOTS = 16;
    private static final int ENTRY_BYTES = 22;
    private static final int RETRY_FLAG = 2;
    private static final double[] NO_REPORT = {};
    private static final ListKind[] LIST_KINDS = ListKind.values();
    private static final Outcome[] OUTCOMES = Outcome.values();
    private static final Status[] STATUSES = Status.values();

    private final Factory factory;
    private final Batch batch;
    private final OutputStream out;
    private final Reply reply = new Reply();
    private final Map<Integer, Balancer> balancers = new HashMap<>();
    private final List<List<Upstream>> lists = new ArrayList<>();

    SimHost(Factory factory, InputStream in, OutputStream out) {
        this.factory = factory;
        this.batch = new Batch(in);
        this.out = out;
        for (int i = 0; i < LIST_SLOTS; i++) {
            lists.add(List.of());
        }
    }

    /** Serves the wire protocol on standard input and output until the input ends. */
    public static void runOnStandardStreams() throws IOException {
        try (OutputStream out = new FileOutputStream(FileDescriptor.out)) {
            new SimHost(LoadShiftingBalancer::new, new FileInputStream(FileDescriptor.in), out).run();
        }
    }

    /** Serves batches until the input ends. */
    void run() throws IOException {
        while (batch.next()) {
            reply.begin(batch.number());
            int instance = -1;
            for (long i = 0; i < batch.records(); i++) {
                int start = batch.position();
                try {
                    int code = batch.u16();
                    if (code == 12) {
                        instance = batch.u16();
                    } else if (code == 11) {
                        readList();
                    } else if (instance < 0) {
                        throw new MalformedFrameException("an event comes before any instance is named");
                    } else {
                        handleEvent(instance, code);
                    }
                } catch (EOFException e) {
                    throw malformed(i, start, "the record runs past the end of the batch");
                } catch (MalformedFrameException e) {
                    throw malformed(i, start, e.getMessage());
                }
            }
            if (batch.remaining() > 0) {
                throw malformed(batch.records(), batch.position(), batch.remaining() + " bytes follow the last record");
            }
            reply.writeTo(out);
        }
    }

    private MalformedFrameException malformed(long record, int position, String description) {
        return new MalformedFrameException("batch " + Integer.toUnsignedString(batch.number()) + ", record " + record
                + " at byte " + position + ": " + description);
    }

    /** Reads all fields of one event, then delivers it; an exception of the balancer results in the panic action. */
    private void handleEvent(int instance, int code) throws IOException {
        double now = batch.nowMs();
        Balancer balancer = balancers.get(instance);
        switch (code) {
            case 1 -> {
                long seed = batch.u64();
                String options = batch.text(batch.count(1));
                runGuarded(instance, () -> {
                    Balancer fresh = factory.create(SettingsParser.parse(options), seed, reply.actionsOf(instance));
                    balancers.put(instance, fresh);
                    fresh.start(now);
                });
            }
            case 2 -> {
                ListKind kind = enumConstant(LIST_KINDS, batch.u8(), "list kind");
                batch.u32();
                int slot = batch.u8();
                if (kind != ListKind.FAILED && slot >= LIST_SLOTS) {
                    throw new MalformedFrameException("list number " + slot + " is not below " + LIST_SLOTS);
                }
                List<Upstream> entries = kind == ListKind.FAILED ? List.of() : lists.get(slot);
                deliver(instance, balancer, () -> balancer.upstreams(now, kind, entries));
            }
            case 3 -> {
                int id = batch.u32();
                int flags = batch.u8();
                batch.u64();
                int requestClass = batch.u16();
                double timeoutMs = batch.f64();
                int tenant = batch.u32();
                batch.f64();
                deliver(
                        instance,
                        balancer,
                        () -> balancer.request(
                                now,
                                new Request(id, requestClass, tenant, timeoutMs, (flags & RETRY_FLAG) != 0, false)));
            }
            case 4 -> {
                int id = batch.u32();
                batch.u32();
                int attempt = batch.u8();
                double elapsedMs = batch.f64();
                deliver(instance, balancer, () -> balancer.streamStarted(now, id, attempt, elapsedMs));
            }
            case 5 -> {
                int id = batch.u32();
                double elapsedMs = batch.f64();
                boolean done = batch.u8() != 0;
                int upstream = batch.u32();
                int attempt = batch.u8();
                Outcome outcome = enumConstant(OUTCOMES, batch.u8(), "outcome");
                double[] report = report();
                deliver(
                        instance,
                        balancer,
                        () -> balancer.attemptEnded(
                                now, new AttemptEnd(id, attempt, upstream, outcome, elapsedMs, done, report)));
            }
            case 6 -> {
                int id = batch.u32();
                deliver(instance, balancer, () -> balancer.clientDisconnected(now, id));
            }
            case 7 -> {
                int token = batch.u32();
                deliver(instance, balancer, () -> balancer.timer(now, token));
            }
            case 8 -> {
                int upstream = batch.u32();
                Outcome outcome = enumConstant(OUTCOMES, batch.u8(), "outcome");
                double elapsedMs = batch.f64();
                double[] report = report();
                deliver(instance, balancer, () -> balancer.probeEnded(now, upstream, outcome, elapsedMs, report));
            }
            case 9 -> {
                int sender = batch.u16();
                byte[] message = batch.bytes(batch.u16());
                deliver(instance, balancer, () -> balancer.peerMessage(now, sender, message));
            }
            case 10 -> balancers.remove(instance);
            default -> throw new MalformedFrameException("unknown event code " + code);
        }
    }

    private void readList() throws IOException {
        int slot = batch.u8();
        if (slot >= LIST_SLOTS) {
            throw new MalformedFrameException("list number " + slot + " is not below " + LIST_SLOTS);
        }
        Upstream[] entries = new Upstream[batch.count(ENTRY_BYTES)];
        for (int i = 0; i < entries.length; i++) {
            double startedMs = batch.f64();
            int zone = batch.u16();
            int kind = batch.u8();
            int cell = batch.u16();
            int id = batch.u32();
            double weight = batch.f32();
            Status status = enumConstant(STATUSES, batch.u8(), "status");
            entries[i] = new Upstream(id, status, startedMs, zone, kind, cell, Math.max(0, weight));
        }
        lists.set(slot, List.of(entries));
    }

    private double[] report() throws IOException {
        int count = batch.u8();
        if (count == 0) {
            return NO_REPORT;
        }
        double[] report = new double[count];
        for (int i = 0; i < count; i++) {
            report[i] = batch.f32();
        }
        return report;
    }

    private static <T> T enumConstant(T[] values, int code, String description) throws MalformedFrameException {
        if (code >= values.length) {
            throw new MalformedFrameException("unknown " + description + " " + code);
        }
        return values[code];
    }

    /** Delivers an event, unless the instance has not started, was removed or has failed. */
    private void deliver(int instance, Balancer balancer, Runnable event) {
        if (balancer != null) {
            runGuarded(instance, event);
        }
    }

    private void runGuarded(int instance, Runnable event) {
        try {
            event.run();
        } catch (RuntimeException e) {
            balancers.remove(instance);
            reply.panic(instance, String.valueOf(e.getMessage() == null ? e : e.getMessage()));
        }
    }
}

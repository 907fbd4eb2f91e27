package ivybank.scale.sweep;

import ivybank.scale.plan.ScalePlan;
import ivybank.scale.process.ProcessorLoad;
import ivybank.scale.result.MachineLimit;
import ivybank.scale.result.Point;
import ivybank.scale.result.Quantity.Sweep;
import ivybank.scale.result.ScaleResult;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Consumer;

/** Measures all that a plan names, one size after another, and fits the slopes. */
public final class ScaleRun {

    private static final double NANOS_IN_MINUTE = 60e9;

    private final ScalePlan plan;
    private final String command;
    private final Path folder;
    private final Consumer<String> progress;
    private final MachineLimit limit;
    private final List<Point> points = new ArrayList<>();
    private final List<String> notes = new ArrayList<>();
    private final long startedNs = System.nanoTime();
    private ScaleResult.BesideResult beside;

    /** Measures one size with one seed. */
    private interface Measurement {
        List<Point> measure(int size, long seed) throws IOException, InterruptedException;
    }

    /**
     * @param command that starts a real sidecar
     * @param folder for logs and configurations
     * @param progress takes a line for each point
     */
    public ScaleRun(ScalePlan plan, String command, Path folder, Consumer<String> progress) {
        this.plan = plan;
        this.command = command;
        this.folder = folder;
        this.progress = progress;
        this.limit = new MachineLimit(plan.bounds().busyPart(), plan.bounds().lateMs());
    }

    /** Runs to the end. What can't be measured is noted in the result, and the rest goes on. */
    public ScaleResult run() throws IOException, InterruptedException {
        ListSweep list = new ListSweep(plan, limit, command, folder);
        FleetSweep fleet = new FleetSweep(plan, limit, folder);
        ViewSweep view = new ViewSweep(plan, limit, folder);
        for (long seed : plan.seeds()) {
            sweep(Sweep.LIST, shuffled(plan.list().sizes(), seed), seed, list::measure);
            sweep(Sweep.FLEET, shuffled(plan.fleet().sizes(), seed), seed, fleet::measure);
            sweep(Sweep.VIEW, shuffled(plan.view().sizes(), seed), seed, view::measure);
        }
        if (plan.beside().on()) {
            playBeside(fleet);
        }
        int processors = new ProcessorLoad().processors();
        double minutes = (System.nanoTime() - startedNs) / NANOS_IN_MINUTE;
        return new ScaleResult(plan, points, notes, beside, processors, minutes);
    }

    /** In an order that differs by seed, so that what the machine does in the course of the run is no slope. */
    private static List<Integer> shuffled(List<Integer> sizes, long seed) {
        List<Integer> order = new ArrayList<>(sizes);
        Collections.shuffle(order, new Random(seed));
        return order;
    }

    private void sweep(Sweep sweep, List<Integer> sizes, long seed, Measurement measurement)
            throws InterruptedException {
        for (int size : sizes) {
            String name = sweep.name().toLowerCase(Locale.ROOT) + " of " + size + ", seed " + seed;
            if ((System.nanoTime() - startedNs) / NANOS_IN_MINUTE
                    > plan.bounds().minutes()) {
                notes.add(name + ": not begun, the run's time was over");
                continue;
            }
            progress.accept(name);
            try {
                points.addAll(measurement.measure(size, seed));
            } catch (IOException e) {
                notes.add(name + ": " + e.getMessage());
            }
        }
    }

    /** Plays a day of real sidecars, clients and nodes while the largest fleet is measured once more; those figures are dropped. */
    private void playBeside(FleetSweep fleet) throws IOException, InterruptedException {
        progress.accept("a day of real sidecars beside the largest fleet");
        int largest =
                plan.fleet().sizes().stream().mapToInt(Integer::intValue).max().orElse(1);
        ExecutorService hands = Executors.newSingleThreadExecutor();
        try {
            Future<ScaleResult.BesideResult> day = hands.submit(() -> BesideDay.play(plan.beside(), command, folder));
            while (!day.isDone()) {
                fleet.measure(largest, plan.seeds().get(0));
            }
            beside = day.get();
        } catch (ExecutionException e) {
            notes.add("the day beside could not be played: " + e.getCause());
        } finally {
            hands.shutdownNow();
        }
    }
}

package ivybank.rehearsal.latency;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** One picture with a chart for each setting: time to answer by percentile, direct and through, of its first valid run. */
public final class PercentilePlot {

    private static final int WIDTH = 640;
    private static final int HEIGHT = 400;
    private static final int POINTS_OF_DECADE = 20;
    private static final int DECADES = 3; // up to 99.9
    private static final int MOST_COLUMNS = 3;
    private static final double LEAST_MS = 0.001; // the axis is logarithmic

    private PercentilePlot() {}

    /** Writes a PNG; needs no display. Settings with no valid run have no chart; with none at all nothing is written. */
    public static void write(List<OverheadCell> cells, Path file) throws IOException {
        System.setProperty("java.awt.headless", "true");
        List<XYChart> charts = new ArrayList<>();
        for (OverheadCell cell : cells) {
            if (!cell.valid().isEmpty()) {
                charts.add(chart(cell));
            }
        }
        if (charts.isEmpty()) {
            return;
        }
        int columns = Math.min(MOST_COLUMNS, charts.size());
        int rows = (charts.size() + columns - 1) / columns;
        BitmapEncoder.saveBitmap(charts, rows, columns, file.toString(), BitmapEncoder.BitmapFormat.PNG);
    }

    private static XYChart chart(OverheadCell cell) {
        XYChart chart = new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title(cell.toString())
                .xAxisTitle("1 call in so many is slower")
                .yAxisTitle("ms")
                .build();
        chart.getStyler().setXAxisLogarithmic(true).setYAxisLogarithmic(true);
        RunSummary run = cell.valid().get(0).measured();
        addSeries(chart, "direct", run.latency(Route.DIRECT));
        addSeries(chart, "through", run.latency(Route.THROUGH));
        return chart;
    }

    private static void addSeries(XYChart chart, String name, Distribution values) {
        double[] oneIn = new double[DECADES * POINTS_OF_DECADE + 1];
        double[] ms = new double[oneIn.length];
        for (int i = 0; i < oneIn.length; i++) {
            oneIn[i] = Math.pow(10, (double) i / POINTS_OF_DECADE);
            ms[i] = Math.max(LEAST_MS, values.percentileMs(100 - 100 / oneIn[i]));
        }
        chart.addSeries(name, oneIn, ms).setMarker(SeriesMarkers.NONE);
    }
}

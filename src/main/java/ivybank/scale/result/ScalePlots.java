package ivybank.scale.result;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** A page of plots: each quantity over the size, its points, those left out, and its line. */
public final class ScalePlots {

    private static final int WIDTH = 560;
    private static final int HEIGHT = 360;

    private ScalePlots() {}

    /** Writes index.html and an image for each quantity into a folder, which is made if it is not there. */
    public static void write(ScaleResult result, Path folder) throws IOException {
        System.setProperty("java.awt.headless", "true");
        Files.createDirectories(folder);
        StringBuilder page = new StringBuilder("<!DOCTYPE html><meta charset=\"utf-8\"><title>")
                .append(result.plan().name())
                .append("</title>\n");
        for (Slope slope : result.slopes()) {
            String file = slope.quantity().name().toLowerCase(Locale.ROOT) + ".png";
            ChartUtils.saveChartAsPNG(folder.resolve(file).toFile(), chart(slope, result.points()), WIDTH, HEIGHT);
            page.append("<img src=\"")
                    .append(file)
                    .append("\" alt=\"")
                    .append(slope.quantity().meaning())
                    .append("\">\n");
        }
        Files.writeString(folder.resolve("index.html"), page.toString());
    }

    private static JFreeChart chart(Slope slope, List<Point> all) {
        Quantity quantity = slope.quantity();
        XYSeries counted = new XYSeries("measured");
        XYSeries leftOut = new XYSeries("left out");
        XYSeries line = new XYSeries(
                "line (" + slope.shape().name().toLowerCase(Locale.ROOT).replace('_', ' ') + ")");
        for (Point point : all) {
            if (point.quantity() == quantity && Double.isFinite(point.value())) {
                (point.counts() ? counted : leftOut).add(point.size(), point.value());
            }
        }
        if (Double.isFinite(slope.slope()) && counted.getItemCount() > 0) {
            line.add(counted.getMinX(), slope.intercept() + slope.slope() * counted.getMinX());
            line.add(counted.getMaxX(), slope.intercept() + slope.slope() * counted.getMaxX());
        }
        XYSeriesCollection data = new XYSeriesCollection();
        data.addSeries(counted);
        data.addSeries(leftOut);
        data.addSeries(line);
        JFreeChart chart = ChartFactory.createScatterPlot(
                quantity.meaning(), "size", quantity.unit(), data, PlotOrientation.VERTICAL, true, false, false);
        XYLineAndShapeRenderer renderer = new XYLineAndShapeRenderer(false, true);
        renderer.setSeriesLinesVisible(2, true);
        renderer.setSeriesShapesVisible(2, false);
        chart.getXYPlot().setRenderer(renderer);
        return chart;
    }
}

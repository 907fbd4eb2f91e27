package ivybank.scale.worker;

import ivybank.policy.Balancer.Actions;

/** Takes what a decision module asks for and does none of it: without requests there is nothing to be done. */
final class IgnoredActions implements Actions {

    @Override
    public void send(int request, int upstream, double timeoutMs) {}

    @Override
    public void refuse(int request, double retryAfterMs) {}

    @Override
    public void fail(int request) {}

    @Override
    public void cancel(int request, int attempt) {}

    @Override
    public void probe(int upstream) {}

    @Override
    public void timer(double delayMs, int token) {}

    @Override
    public void subscribe(boolean on) {}

    @Override
    public void fetchList() {}

    @Override
    public void closeIdle(int upstream) {}

    @Override
    public void log(String line) {}
}

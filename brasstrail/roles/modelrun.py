"""Runs of chat requests on a model engine."""

from brasstrail.core import clock, data
from brasstrail.protocol import chat, messages
from brasstrail.roles import runs

CHAT_PATH = "/v1/chat/completions"
PREFILL_TIMEOUT_FACTOR = 6
SERVER_ERROR_STATUS = 500
OK_STATUS = 200
REQUEST_ID_HEADER = "X-Request-Id"


@runs.register_run_class(data.ServiceKind.MODEL)
class ModelRun(runs.Run):
    """A chat request; the answer is always streamed from the engine."""

    async def execute(self):
        """Run the request; return the fault that ended it, or None.

        The request is cancelled on the engine if the run ends before the call does.
        """
        body = chat.streamed_body(self.start.body)
        if self.start.resume_text:
            body = chat.resumed_body(body, self.start.resume_text)
        headers = (
            "Content-Type: application/json",
            f"{REQUEST_ID_HEADER}: {self.dispatch_id}",
        )
        task = self.begin_call(CHAT_PATH, headers, body, "POST")
        try:
            return await self.relay()
        finally:
            if not task.done():
                self.call.abort()
                self.agent.cancel_at_engine(self.dispatch_id)

    async def relay(self):
        """Forward the engine's events to the entry."""
        splitter = chat.EventSplitter()
        stream_ended = False
        last_token_ms = self.began_ms
        while True:
            chunk = await self.call.read(self.silence_timeout_s())
            if self.aborted:
                raise runs.Aborted()
            if not chunk:
                break
            if self.call.status != OK_STATUS:
                return await self.forward_error_answer(chunk)
            events = splitter.feed(chunk)
            stream_ended = stream_ended or chat.STREAM_END in events
            fresh = [event for event in events if event != chat.STREAM_END]
            if fresh:
                last_token_ms = self.record_progress(len(fresh), last_token_ms)
                await self.wait_for_window()
                self.send_part(b"".join(map(chat.event, fresh)), len(fresh))
        return await self.finish(stream_ended)

    async def finish(self, stream_ended):
        """Report the end of the stream; return the fault, or None.

        A stream that ends without its end marker counts as a failure of the server.
        """
        if self.call.failure is not None:
            return await self.handle_call_failure()
        if self.call.status != OK_STATUS:
            return await self.forward_error_answer(b"")
        if not stream_ended:
            return await self.make_crash_fault("its stream ended before the answer did")
        self.send(
            messages.Done(self.dispatch_id, 0, self.work.prompt_tokens, self.tokens)
        )
        return None

    async def forward_error_answer(self, chunk):
        """Forward an engine's answer with an error status.

        A status of 500 or above becomes a fault instead.
        """
        body = chunk
        while chunk:
            chunk = await self.call.read(self.silence_timeout_s())
            body += chunk
        if self.call.failure is not None:
            return await self.handle_call_failure()
        if self.call.status >= SERVER_ERROR_STATUS:
            return self.make_fault(f"it answered {self.call.status}")
        self.send(messages.Head(self.dispatch_id, self.call.status, self.call.headers))
        self.send_part(body)
        self.send(messages.Done(self.dispatch_id, 0, 0, 0))
        return None

    def silence_timeout_s(self):
        """Return after how many seconds of silence the engine counts as stalled.

        Before the first token, the limit includes `PREFILL_TIMEOUT_FACTOR` times the
        expected time of the prefill backlog.
        """
        stall_ms = self.agent.settings.stall_ms
        if self.tokens:
            return stall_ms / runs.SECOND_MS
        rate = self.agent.speed.prefill_rate
        prefill_ms = self.agent.prefill_backlog() / rate * runs.SECOND_MS
        return (stall_ms + PREFILL_TIMEOUT_FACTOR * prefill_ms) / runs.SECOND_MS

    def record_progress(self, tokens, last_token_ms):
        """Update speed and admission after new tokens; return the current time."""
        now_ms = clock.now_ms()
        if self.tokens == 0:
            self.agent.record_prefill(self, now_ms - self.began_ms)
        else:
            running = len(self.agent.running)
            self.agent.speed.record_tokens(tokens, now_ms - last_token_ms, running)
        self.tokens += tokens
        self.agent.admission.record_progress(self.dispatch_id, tokens)
        return now_ms

"""Runs of chat requests at a model engine."""

from brasstrail.core import clock, data
from brasstrail.protocol import chat, messages
from brasstrail.roles import runs

CHAT_PATH = "/v1/chat/completions"
PREFILL_PATIENCE = 6
SERVER_ERROR_STATUS = 500
OK_STATUS = 200
REQUEST_ID_HEADER = "X-Request-Id"


@runs.runner(data.ServiceKind.MODEL)
class ModelRun(runs.Run):
    """A chat request, always streamed from the engine."""

    async def execute(self):
        """runs.Run the request; return the fault that ended it, or None."""
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
        """Hand the engine's events to the entry."""
        splitter = chat.EventSplitter()
        ended = False
        last_ms = self.began_ms
        while True:
            chunk = await self.call.read(self.patience_s())
            if self.aborted:
                raise runs.Aborted()
            if not chunk:
                break
            if self.call.status != OK_STATUS:
                return await self.relay_refusal(chunk)
            events = splitter.feed(chunk)
            ended = ended or chat.STREAM_END in events
            fresh = [event for event in events if event != chat.STREAM_END]
            if fresh:
                last_ms = self.note_progress(len(fresh), last_ms)
                await self.room()
                self.send_part(b"".join(map(chat.event, fresh)), len(fresh))
        return await self.finish(ended)

    async def finish(self, ended):
        """Report the end of the stream; return the fault, or None."""
        if self.call.failure is not None:
            return await self.call_failed()
        if self.call.status != OK_STATUS:
            return await self.relay_refusal(b"")
        if not ended:
            await self.suspect()
            return self.make_fault("its stream ended before the answer did")
        self.send(
            messages.Done(self.dispatch_id, 0, self.work.prompt_tokens, self.tokens)
        )
        return None

    async def relay_refusal(self, chunk):
        """Hand on an engine's answer that is no stream."""
        body = chunk
        while chunk:
            chunk = await self.call.read(self.patience_s())
            body += chunk
        if self.call.failure is not None:
            return await self.call_failed()
        if self.call.status >= SERVER_ERROR_STATUS:
            return self.make_fault(f"it answered {self.call.status}")
        self.send(messages.Head(self.dispatch_id, self.call.status, self.call.headers))
        self.send_part(body)
        self.send(messages.Done(self.dispatch_id, 0, 0, 0))
        return None

    def patience_s(self):
        """Return how long the engine may be silent before it has stalled."""
        stall_ms = self.agent.settings.stall_ms
        if self.tokens:
            return stall_ms / runs.SECOND_MS
        rate = self.agent.speed.prefill_rate
        prefill_ms = self.agent.prefill_backlog() / rate * runs.SECOND_MS
        return (stall_ms + PREFILL_PATIENCE * prefill_ms) / runs.SECOND_MS

    def note_progress(self, tokens, last_ms):
        """Learn from tokens that came; return the present time."""
        now_ms = clock.now_ms()
        if self.tokens == 0:
            self.agent.note_prefilled(self, now_ms - self.began_ms)
        else:
            running = len(self.agent.running)
            self.agent.speed.record_tokens(tokens, now_ms - last_ms, running)
        self.tokens += tokens
        self.agent.admission.record_progress(self.dispatch_id, tokens)
        return now_ms

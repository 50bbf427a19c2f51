package platform

import "context"

type answerHook struct{}

// WithOnAnswer returns a context for a call of KV that calls f when a successful response begins. The rest of a large
// response follows only as fast as the link allows.
func WithOnAnswer(ctx context.Context, f func()) context.Context {
	return context.WithValue(ctx, answerHook{}, f)
}

// AnswerBegins is called by implementations of KV when a successful response begins.
func AnswerBegins(ctx context.Context) {
	if f, ok := ctx.Value(answerHook{}).(func()); ok {
		f()
	}
}

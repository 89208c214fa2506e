package wasabidaemon_test

import (
	"context"
	"errors"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/wasabiridge/wasabiridge/internal/wasabidaemon"
	"github.com/wasabiridge/wasabiridge/internal/wasabiengine"
	"github.com/wasabiridge/wasabiridge/internal/wasabifake"
	"github.com/wasabiridge/wasabiridge/internal/wasabiserver"
	"github.com/wasabiridge/wasabiridge/internal/wasabisettings"
)

var _ = Describe("a client library for the OpenAI API", func() {
	var engine *wasabiengine.Engine
	var client openai.Client
	params := openai.ChatCompletionNewParams{
		Model:     "m",
		MaxTokens: openai.Int(12),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Code 17?")},
	}

	BeforeEach(func() {
		engine = startEngine(wasabiengine.Options{Spec: wasabifake.Spec{ID: "e1"}})
		d := startDaemon(wasabidaemon.Options{Settings: wasabisettings.Settings{ConfigFile: writeConfig(engine), Drain: shortDrain}})
		client = openai.NewClient(option.WithBaseURL(d.URL()+"/v1"), option.WithAPIKey(testKey), option.WithMaxRetries(0))
	})

	It("reads the same text from a streamed and a non-streamed answer", func() {
		answer, err := client.Chat.Completions.New(context.Background(), params)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Usage.CompletionTokens).To(Equal(int64(12)))

		stream := client.Chat.Completions.NewStreaming(context.Background(), params)
		var text strings.Builder
		for stream.Next() {
			for _, choice := range stream.Current().Choices {
				text.WriteString(choice.Delta.Content)
			}
		}
		Expect(stream.Err()).NotTo(HaveOccurred())
		Expect(text.String()).To(Equal(answer.Choices[0].Message.Content))
	})

	It("reads text completions and the list of models", func() {
		answer, err := client.Completions.New(context.Background(), openai.CompletionNewParams{
			Model: "m", MaxTokens: openai.Int(3), Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("Code")},
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Choices[0].Text).NotTo(BeEmpty())
		_, err = client.Models.List(context.Background())
		Expect(err).NotTo(HaveOccurred())
	})

	It("parses the error response to a wrong key", func() {
		_, err := client.Chat.Completions.New(context.Background(), params, option.WithAPIKey("wrong"))
		var refused *openai.Error
		Expect(errors.As(err, &refused)).To(BeTrue())
		Expect(refused.StatusCode).To(Equal(401))
		Expect(refused.Code).To(Equal("invalid_api_key"))
		Expect(refused.Response.Header.Get("Wasabi-Disposition")).To(Equal("not_run"))
	})

	// The engine closes its answer in an orderly way before the end marker. The
	// caller must not take the truncated answer for a complete one.
	It("receives an error when a stream is truncated", func() {
		engine.Inject(wasabiserver.Fault{Point: wasabiserver.AtToken, Token: 7, Kind: wasabiserver.TruncatedEnd})
		stream := client.Chat.Completions.NewStreaming(context.Background(), params)
		tokens := 0
		for stream.Next() {
			tokens++
		}
		Expect(tokens).To(BeNumerically("<=", 8))
		Expect(stream.Err()).To(HaveOccurred())
	})
})
